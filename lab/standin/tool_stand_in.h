/// \file A tool service: answers after a while, and sometimes never.
#pragma once

#include "base/random.h"
#include "lab/standin/fault_switches.h"
#include "lab/standin/scheduler.h"

namespace gorsetrail::standin {

/// How long tools take.
struct ToolTimes {
  Duration minimum = milliseconds(5);
  Duration maximum = milliseconds(50);
  std::uint32_t hangPerMille = 0;  ///< Share of the calls that are never answered.
};

/// `POST /v1/tools/NAME` -> `{"result"}`.
class ToolStandIn final : public StandIn {
 public:
  ToolStandIn(ToolTimes times, std::uint64_t seed, Scheduler& scheduler)
      : times_(times), random_(seed), scheduler_(scheduler) {}

  void handle(const HttpRequest& request, HttpExchangePtr exchange) override;

 private:
  void hold(HttpExchangePtr exchange);

  ToolTimes times_;
  RandomSource random_;
  Scheduler& scheduler_;
  std::vector<HttpExchangePtr> held_;
};

}  // namespace gorsetrail::standin
