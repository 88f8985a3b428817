/// \file The platform's list of live and leaving machines, which lags behind the truth.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "lab/standin/fault_switches.h"
#include "lab/standin/scheduler.h"

namespace gorsetrail::standin {

enum class MachineState : std::uint8_t { Live, Leaving, Terminated };

/// One life of one machine.
struct Machine {
  std::uint32_t node = 0;
  std::uint64_t incarnation = 0;
  std::string zone;
  MachineState state = MachineState::Live;
};

/// `PUT /v1/machines {"node","incarnation","zone","state"}` changes the truth; `GET /v1/machines`
/// shows it as it was a lag ago.
class MachineListStandIn final : public StandIn {
 public:
  /// \param initial is shown from the start.
  MachineListStandIn(const std::vector<Machine>& initial, Duration lag, Scheduler& scheduler);

  void handle(const HttpRequest& request, HttpExchangePtr exchange) override;

 private:
  struct Change {
    Instant visibleFrom;
    Machine machine;
  };
  struct MachineLife {
    std::uint32_t node = 0;
    std::uint64_t incarnation = 0;
    auto operator<=>(const MachineLife&) const = default;  // NOLINT(modernize-use-nullptr)
  };

  HttpResponse change(const HttpRequest& request);
  HttpResponse show();
  void applyVisibleChanges();

  Duration lag_;
  Scheduler& scheduler_;
  std::map<MachineLife, Machine> shown_;
  std::deque<Change> pending_;
};

}  // namespace gorsetrail::standin
