#include "lab/standin/standin_host.h"

#include <utility>

#include "lab/standin/application_stand_in.h"
#include "lab/standin/http_server.h"
#include "lab/standin/log_stand_in.h"
#include "lab/standin/weight_store_stand_in.h"

namespace gorsetrail::standin {
namespace {

/// One stand-in with its switches; its address does not change, since the gate refers to it.
struct Hosted {
  FaultSwitches switches;
  std::unique_ptr<StandIn> standIn;
  std::unique_ptr<FaultGate> gate;
  std::unique_ptr<HttpListener> listener;
};

DownManner downMannerOf(const StandInConfig& config) {
  const bool backend = std::holds_alternative<EngineStandInOptions>(config.options) ||
                       std::holds_alternative<ApplicationOptions>(config.options);
  return backend ? DownManner::Drops : DownManner::Refuses;
}

/// Makes the stand-in that a configuration asks for.
class StandInMaker {
 public:
  StandInMaker(const std::string& name, std::uint64_t seed, FaultSwitches& switches,
               Scheduler& scheduler)
      : name_(name), seed_(seed), switches_(switches), scheduler_(scheduler) {}

  std::unique_ptr<StandIn> operator()(const EngineStandInOptions& options) const {
    return std::make_unique<EngineStandIn>(options, switches_, scheduler_);
  }
  std::unique_ptr<StandIn> operator()(const ApplicationOptions& options) const {
    return std::make_unique<ApplicationStandIn>(name_, options.runTime, switches_, scheduler_);
  }
  std::unique_ptr<StandIn> operator()(const LogOptions& /*options*/) const {
    return std::make_unique<LogStandIn>();
  }
  std::unique_ptr<StandIn> operator()(const MachineListOptions& options) const {
    return std::make_unique<MachineListStandIn>(options.machines, options.lag, scheduler_);
  }
  std::unique_ptr<StandIn> operator()(const WeightStoreOptions& options) const {
    return std::make_unique<WeightStoreStandIn>(options.weights, options.requestsPerSecond,
                                                scheduler_);
  }
  std::unique_ptr<StandIn> operator()(const ToolOptions& options) const {
    return std::make_unique<ToolStandIn>(options.times, seed_, scheduler_);
  }

 private:
  const std::string& name_;
  std::uint64_t seed_;
  FaultSwitches& switches_;
  Scheduler& scheduler_;
};

class Host final : public StandInHost {
 public:
  explicit Host(boost::asio::io_context& context)
      : context_(context), scheduler_(makeAsioScheduler(context)) {}

  Result<Success> add(const StandInConfig& config, std::uint64_t seed) {
    auto hosted = std::make_unique<Hosted>();
    hosted->standIn =
        std::visit(StandInMaker(config.name, seed, hosted->switches, *scheduler_), config.options);
    hosted->gate = std::make_unique<FaultGate>(*hosted->standIn, hosted->switches, *scheduler_,
                                               downMannerOf(config));
    FaultGate* gate = hosted->gate.get();
    auto listener =
        listenHttp(context_, config.listen, [gate](HttpRequest request, HttpExchangePtr exchange) {
          gate->handle(std::move(request), std::move(exchange));
        });
    if (!succeeded(listener)) {
      return errorOf(listener);
    }
    hosted->listener = std::move(valueOf(listener));
    hosted_.push_back(std::move(hosted));
    return Success{};
  }

  [[nodiscard]] std::uint16_t port(std::size_t index) const override {
    return hosted_.at(index)->listener->port();
  }

 private:
  boost::asio::io_context& context_;
  std::unique_ptr<Scheduler> scheduler_;
  std::vector<std::unique_ptr<Hosted>> hosted_;
};

}  // namespace

Result<std::unique_ptr<StandInHost>> startStandIns(boost::asio::io_context& context,
                                                   const StandInProcessConfig& config) {
  auto host = std::make_unique<Host>(context);
  for (std::size_t index = 0; index < config.standIns.size(); ++index) {
    const Result<Success> added = host->add(config.standIns[index], config.seed + index);
    if (!succeeded(added)) {
      return errorOf(added);
    }
  }
  return std::unique_ptr<StandInHost>(std::move(host));
}

}  // namespace gorsetrail::standin
