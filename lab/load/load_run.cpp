#include "lab/load/load_run.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <list>
#include <memory>

#include "lab/load/http_exchange.h"
#include "lab/load/program_runner.h"
#include "lab/load/watchers.h"

namespace gorsetrail::load {
namespace {

using boost::asio::awaitable;

constexpr Duration kProgressInterval = seconds(1);
/// How often the run looks whether its workers have ended.
constexpr Duration kJoinInterval = milliseconds(20);

/// A failure of the tool itself must not pass for a run without violations.
void rethrow(const std::exception_ptr& failure) {
  if (failure) {
    std::rethrow_exception(failure);
  }
}

class LoadRun {
 public:
  LoadRun(const LoadConfig& config, const ProgressListener& onProgress)
      : config_(config),
        onProgress_(onProgress),
        client_(http::makeHttpClient(context_)),
        checker_(config.bundleGrace),
        random_(config.seed),
        start_(currentTime()) {}

  LoadOutcome run() {
    boost::asio::signal_set signals(context_, SIGINT, SIGTERM);
    signals.async_wait([this](const boost::system::error_code& error, int) {
      if (!error) {
        interrupted_ = true;
      }
    });
    spawn(supervise(signals));
    context_.run();
    figures_.elapsed = currentTime() - start_;
    return {figures_, checker_.tally()};
  }

 private:
  void spawn(awaitable<void> work) { boost::asio::co_spawn(context_, std::move(work), rethrow); }

  awaitable<void> counted(awaitable<void> work) {
    ++workers_;
    co_await std::move(work);
    --workers_;
  }

  awaitable<void> join() {
    while (workers_ > 0) {
      co_await pause(kJoinInterval);
    }
  }

  /// Takes programs of one site one by one until there are none left.
  awaitable<void> work(SiteRun& run, std::uint32_t& next) {
    const Workload& workload = run.site.workload;
    const std::string runName = "run" + std::to_string(start_.time_since_epoch().count());
    while (next < workload.programs && !interrupted_ &&
           currentTime() - start_ < workload.maximumTime) {
      const std::uint32_t number = next++;
      ProgramRunner runner(run, runName, number, number < workload.loopingPrograms);
      co_await runner.run();
    }
  }

  void startSite(const SiteLoad& site) {
    for (const TenantLoad& tenant : site.tenants) {
      checker_.setLimits(site.name, tenant.name, {tenant.callsPerProgram, tenant.tokensPerProgram});
    }
    runs_.push_back({site, *client_, checker_, figures_, random_});
    next_.push_back(0);
    for (std::uint32_t count = 0; count < site.workload.concurrency; ++count) {
      spawn(counted(work(runs_.back(), next_.back())));
    }
    if (site.leavingTest) {
      spawn(counted(testLeaving(*site.leavingTest, *client_, checker_)));
    }
    spawn(watchStatus(site, config_.statusInterval, *client_, checker_, stopWatching_));
  }

  awaitable<void> showProgress() {
    while (!stopWatching_) {
      onProgress_(figures_);
      co_await pause(kProgressInterval);
    }
  }

  awaitable<void> audit() {
    const Instant deadline = currentTime() + config_.holdsEmptyAfter;
    bool runsKnown = true;
    for (const SiteLoad& site : config_.sites) {
      co_await awaitEmptyHolds(site, deadline, *client_, checker_);
      runsKnown = co_await countRuns(site, *client_, checker_) && runsKnown;
    }
    if (!runsKnown) {
      ++figures_.errors["runs_not_readable"];
    }
    checker_.finish(runsKnown);
  }

  awaitable<void> supervise(boost::asio::signal_set& signals) {
    for (const SiteLoad& site : config_.sites) {
      startSite(site);
    }
    spawn(showProgress());
    co_await pause(kJoinInterval);
    co_await join();
    co_await audit();
    stopWatching_ = true;
    signals.cancel();
  }

  const LoadConfig& config_;
  const ProgressListener& onProgress_;
  boost::asio::io_context context_{1};
  http::HttpClientPtr client_;
  PromiseChecker checker_;
  LoadFigures figures_;
  RandomSource random_;
  Instant start_;
  std::list<SiteRun> runs_;
  std::list<std::uint32_t> next_;
  std::uint32_t workers_ = 0;
  bool interrupted_ = false;
  bool stopWatching_ = false;
};

}  // namespace

LoadOutcome runLoad(const LoadConfig& config, const ProgressListener& onProgress) {
  LoadRun run(config, onProgress);
  return run.run();
}

}  // namespace gorsetrail::load
