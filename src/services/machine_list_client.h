/// \file Client of the platform's list of machines. The list lags; a machine that it does not
/// name may be alive: only `Terminated` proves an end.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "http/http_client.h"
#include "services/paced_loop.h"

namespace gorsetrail::services {

/// What the platform says of one life of a machine.
enum class MachineState : std::uint8_t { Live, Leaving, Terminated };

struct Machine {
  NodeId node;
  Incarnation incarnation;
  std::string zone;
  MachineState state = MachineState::Live;
};

/// Asks once. Errors: `PlatformUnavailable`.
class MachineListClient {
 public:
  using OnList = std::function<void(Result<std::vector<Machine>>)>;
  /// \param client outlives this. \param address `ip:port` of the machine list.
  MachineListClient(http::HttpClient& client, std::string address, Duration timeLimit = seconds(5));
  void fetch(const OnList& onList);

 private:
  http::HttpClient& client_;
  std::string address_;
  Duration timeLimit_;
};

/// Hands over the list again and again; nothing while the platform is down.
class MachineListPoller {
 public:
  using OnMachines = std::function<void(const std::vector<Machine>&)>;
  /// \param list, timers outlive the poller.
  MachineListPoller(MachineListClient& list, TimerService& timers, Pace pace, std::uint64_t seed,
                    const OnMachines& onMachines);
  ~MachineListPoller();
  void start();
  void stop();
  [[nodiscard]] std::uint32_t failures() const { return loop_.failures(); }

 private:
  std::shared_ptr<bool> isRunning_ = std::make_shared<bool>(false);
  PacedLoop loop_;
};

}  // namespace gorsetrail::services
