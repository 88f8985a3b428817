/// \file Clients whose programs make one request after the other and return when they are refused.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "quota_fleet.h"

namespace gorsetrail::quota::testing {

/// What became of the programs of one tenant.
struct ProgramCounts {
  std::size_t all = 0;
  std::size_t begun = 0;  ///< Their first request was granted.
  std::size_t lost = 0;   ///< Of those: a later request was refused on all its tries.
  std::size_t done = 0;   ///< All their requests were granted.
};

/// Programs of one tenant: requests one after the other, each with a few tries. A refused try comes
/// back when it was told to, or after a third of the time that it has left, at any node.
class ReturningCallers {
 public:
  static constexpr int kRequests = 8;
  static constexpr int kTries = 3;
  static constexpr Duration kTimeForRequest = milliseconds(2000);
  static constexpr Duration kBetweenRequests = milliseconds(80);
  static constexpr Duration kNewConnection = milliseconds(8);

  /// \param seed of the moments at which programs begin: alike whatever is decided.
  ReturningCallers(SimulatedFleet& fleet, tenant::Tenant tenant, std::uint64_t seed)
      : fleet_(fleet), tenant_(std::move(tenant)), arrivals_(seed) {}

  /// Programs begin at random for so long.
  void play(double programsPerSecond, Duration span) {
    const Duration step = milliseconds(10);
    for (Duration passed{}; passed < span; passed += step) {
      if (arrivals_.fraction() < programsPerSecond * 0.01) {
        begin();
      }
      fleet_.timers.advance(step);
    }
  }

  void begin() {
    ++counts.all;
    ask({std::to_string(++programs_), 0, 1, fleet_.timers.now + kTimeForRequest});
  }

  ProgramCounts counts;

 private:
  struct Call {
    std::string program;
    int request = 0;  ///< Of the program.
    int tries = 1;
    Instant deadline;
  };

  void ask(const Call& call) {
    const auto stage = call.request == 0 ? ProgramStage::Beginning : ProgramStage::Begun;
    const Duration left = call.deadline - fleet_.timers.now;
    fleet_.request(fleet_.random().below(fleet_.size()), tenant_, {stage, call.program, left},
                   [this, call](QuotaDecision decision) { onDecision(call, decision); });
  }
  void onDecision(Call call, QuotaDecision decision) {
    if (decision.verdict == QuotaVerdict::Granted) {
      counts.begun += call.request == 0 ? 1 : 0;
      onGranted(call);
      return;
    }
    const Duration left = call.deadline - fleet_.timers.now;
    if (call.tries >= kTries || left <= Duration::zero()) {
      counts.lost += call.request > 0 ? 1 : 0;
      return;
    }
    ++call.tries;
    const Duration wait = std::min(decision.retryAfter, left / 3) + kNewConnection;
    fleet_.timers.runAfter(wait, [this, call] { ask(call); });
  }
  void onGranted(const Call& call) {
    if (call.request + 1 == kRequests) {
      ++counts.done;
      return;
    }
    fleet_.timers.runAfter(kBetweenRequests,
                           [this, program = call.program, request = call.request + 1] {
                             ask({program, request, 1, fleet_.timers.now + kTimeForRequest});
                           });
  }

  SimulatedFleet& fleet_;
  tenant::Tenant tenant_;
  RandomSource arrivals_;
  std::uint64_t programs_ = 0;
};

}  // namespace gorsetrail::quota::testing
