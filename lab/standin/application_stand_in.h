/// \file An application back end: a legacy application that runs whatever it is sent, again too.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "lab/standin/fault_switches.h"
#include "lab/standin/scheduler.h"

namespace gorsetrail::standin {

/// What an application back end knows of one `Idempotency-Key`.
struct ApplicationRuns {
  std::string requestId;  ///< `X-Request-Id` of the last run.
  std::uint32_t count = 0;
  std::string answer;                                   ///< JSON of the last run's answer.
  std::map<std::string, std::uint32_t> countByContent;  ///< By digest of what was asked.
};

/// Counts the runs of each `Idempotency-Key`. It does not keep a second run from happening: that
/// is what the scheduler promises, and the count is how a checker sees the promise broken.
class ApplicationStandIn final : public StandIn {
 public:
  /// \param runTime from the start of a run, when it takes effect, to its answer.
  ApplicationStandIn(std::string name, Duration runTime, FaultSwitches& switches,
                     Scheduler& scheduler)
      : name_(std::move(name)), runTime_(runTime), switches_(switches), scheduler_(scheduler) {}

  void handle(const HttpRequest& request, HttpExchangePtr exchange) override;

 private:
  void serveRequest(const HttpRequest& request, const HttpExchangePtr& exchange);
  const ApplicationRuns& run(const std::string& key, const std::string& requestId,
                             const std::string& content);
  [[nodiscard]] std::string runsJson() const;

  std::string name_;
  Duration runTime_;
  FaultSwitches& switches_;
  Scheduler& scheduler_;
  std::map<std::string, ApplicationRuns, std::less<>> runs_;
  std::uint64_t requests_ = 0;  ///< All requests that came to run something, also refused ones.
};

/// \return the digest of what a request asks for: of its messages, else of the whole body.
std::string contentOfRequest(const std::string& body);
/// \return the receipt of a run: `<back end>-<digest of the content>-<run>`; the digest lets a
/// checker tell whose receipt it is, whatever keys the nodes use.
std::string receiptOf(const std::string& backendName, const std::string& content,
                      std::uint32_t run);

}  // namespace gorsetrail::standin
