/// \file The platform's rate-limited weight store.
#pragma once

#include <map>
#include <string>

#include "lab/standin/fault_switches.h"
#include "lab/standin/scheduler.h"

namespace gorsetrail::standin {

/// Answers with the size of named weights; over the rate 429 with `Retry-After`.
class WeightStoreStandIn final : public StandIn {
 public:
  /// \param weights name -> bytes.
  /// \param requestsPerSecond over zero; a burst of one second's worth (at least one) is let by.
  WeightStoreStandIn(std::map<std::string, std::uint64_t, std::less<>> weights,
                     double requestsPerSecond, Scheduler& scheduler);

  void handle(const HttpRequest& request, HttpExchangePtr exchange) override;

 private:
  bool takeAllowance();
  [[nodiscard]] HttpResponse refuse() const;

  std::map<std::string, std::uint64_t, std::less<>> weights_;
  double requestsPerSecond_;
  Scheduler& scheduler_;
  double allowance_;
  Instant lastRefill_;
};

}  // namespace gorsetrail::standin
