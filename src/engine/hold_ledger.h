/// \file Which prefixes this node holds on engines, and the reaper of those that nobody needs.
///
/// Pure: events and the moment in, commands out. A hold that the ledger lost sight of ends by its
/// deadline, so a leak lasts at most `HoldKnobs::deadline` after the last order took effect.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "engine/hold_interface.h"
#include "scheduling/retention.h"

namespace gorsetrail::engine {

struct HoldKnobs {
  Duration deadline = seconds(20);           ///< Of each placing and renewal.
  Duration renewAfter = seconds(8);          ///< Leaves time for lost renewals to be repeated.
  Duration retryAfter = seconds(2);          ///< After an order that failed.
  Duration reconcileInterval = seconds(30);  ///< Between two readings of one engine's holds.
  Duration engineRest = seconds(5);          ///< After an engine said that too much is held.
  Duration idleLease = seconds(900);         ///< A program without calls is forgotten then.
  Duration retentionWorth = seconds(1000);   ///< See `scheduling::RetentionPlanner`.
  std::uint32_t minimumPrefixTokens = 512;   ///< Below it recomputing costs less than holding.
  std::uint32_t minimumPriorityLevel = 0;    ///< Work of lower priority holds nothing.
  std::size_t maximumHolds = 256;            ///< Of this node.
  std::size_t maximumHoldsPerEngine = 32;    ///< Of this node at one engine.
  std::size_t maximumPrograms = 2048;        ///< Programs whose pauses are watched.
  std::size_t maximumClosedPrograms = 1024;  ///< Closed programs that the reaper remembers.
  std::size_t maximumPendingReleases = 512;  ///< Releases without an answer yet.
  std::uint32_t releaseAttempts = 3;         ///< Then the deadline ends the hold.
};

/// Counters; they only rise unless said otherwise.
struct HoldCounters {
  std::uint64_t placed = 0;  ///< First placings and moves to a longer prefix.
  std::uint64_t renewed = 0;
  std::uint64_t released = 0;
  std::uint64_t reaped = 0;   ///< Found in an inventory without a right to be there.
  std::uint64_t expired = 0;  ///< Not renewed in time: engine out of reach, or this node paused.
  std::uint64_t refused = 0;  ///< By the engine, or by this node's bounds.
  std::uint64_t failed = 0;   ///< Orders without a readable answer.
  std::uint64_t held = 0;     ///< Gauge.
};

/// A call that an engine answered; its owner's quorum has the outcome.
struct FinishedCall {
  ProgramId program;
  Epoch epoch;
  std::string backendName;
  std::string address;
  scheduling::PrefixHash prefix;
  std::uint32_t prefixTokens = 0;
  std::uint32_t priorityLevel = 0;
};

/// A hold that the ledger wants at an engine.
struct WantedHold {
  std::string backendName;
  std::string address;
  scheduling::PrefixHash prefix;
  HoldOrder order;  ///< The last one.
  Instant orderedAt{};
  std::optional<Instant> confirmedAt;  ///< When the engine last said that it holds.
  Instant giveUpAt{};                  ///< Without a renewal the engine may have let it go by then.
  Instant renewAt{};
};

/// Single-threaded.
class HoldLedger {
 public:
  explicit HoldLedger(const HoldKnobs& knobs = {})
      : knobs_(knobs), planner_(knobs.retentionWorth) {}

  /// \return whether a prefix of that size is worth a hold at all.
  [[nodiscard]] bool isWorthHolding(std::uint32_t prefixTokens, std::uint32_t priorityLevel) const {
    return prefixTokens >= knobs_.minimumPrefixTokens &&
           priorityLevel >= knobs_.minimumPriorityLevel;
  }

  /// \name Events
  /// @{

  /// A call of a program that this node owns in `epoch` was admitted.
  void onCallStarted(const ProgramId& program, Epoch epoch, const std::string& work, Instant now);
  /// It was answered: the prefix of its next call lies at that engine.
  void onCallFinished(const FinishedCall& call, Instant now);
  /// It is over, answered or not; comes once after each `onCallStarted`.
  void onCallEnded(const ProgramId& program, Epoch epoch, Instant now);
  void onProgramClosed(const ProgramId& program, Instant now);
  /// Another node owns the program now.
  void onSuperseded(const ProgramId& program, Instant now);
  void onResult(const HoldResult& result, Instant now);
  void onInventory(const HoldInventory& inventory, Instant now);
  void onTick(Instant now);
  /// Planned stop: everything is released, nothing is placed any more.
  void beginStop(Instant now);
  /// @}

  [[nodiscard]] std::vector<HoldCommand> takeCommands();
  [[nodiscard]] HoldCounters counters() const;
  [[nodiscard]] std::size_t programs() const { return programs_.size(); }
  /// \return orders that wait for an answer; bounded by the knobs.
  [[nodiscard]] std::size_t pending() const { return placings_.size() + releases_.size(); }

 private:
  struct Program {
    Epoch epoch;
    std::string work;
    std::uint32_t callsUnderWay = 0;
    Instant pausedAt{};
    Instant holdUntil{};
    bool mayHavePredecessor = true;  ///< A former owner's hold was not looked for yet.
    std::optional<WantedHold> hold;
  };
  struct Release {
    ReleaseHold command;
    std::uint32_t attempts = 0;
    Instant givenAt{};
    std::optional<Instant> repeatAt;  ///< Set after a failure.
  };
  /// An engine where this node has, or lately had, holds.
  struct Engine {
    std::string address;
    std::size_t holds = 0;
    Instant restsUntil{};
    Instant readAt{};    ///< Next reading.
    Instant lastRead{};  ///< When the last reading was ordered.
    Instant watchUntil{};
  };

  Program* findOwned(const ProgramId& id, Epoch epoch);
  Engine& watch(const std::string& name, const std::string& address, Instant now);
  [[nodiscard]] bool hasRoomFor(const FinishedCall& call, Instant now) const;
  void makeHold(Program& program, const FinishedCall& call, Instant now);
  void order(const ProgramId& id, Program& program, Instant now);
  void dropHold(Program& program);
  void releaseHold(const ProgramId& id, Program& program, Instant now);
  void release(ReleaseHold command, Instant now);
  void cancelReleases(const ProgramId& id, const Program& program);
  void onPlaced(const ProgramId& id, const HoldResult& result, Instant now);
  void onReleased(Release& release, const HoldResult& result, Instant now);
  void rememberClosed(const ProgramId& id);
  [[nodiscard]] bool isLeftOver(const ProgramId& id, const ListedHold& listed,
                                const std::string& backendName) const;
  void judge(const ListedHold& listed, const std::string& backendName, const Engine& engine,
             Instant now);
  void replaceMissing(const HoldInventory& inventory, Instant readAt, Instant now);
  void tickHold(const ProgramId& id, Program& program, Instant now);
  void tickPrograms(Instant now);
  void tickReleases(Instant now);
  void tickEngines(Instant now);
  void wakeAt(Instant moment) { nextWake_ = std::min(nextWake_, moment); }

  HoldKnobs knobs_;
  scheduling::RetentionPlanner planner_;
  std::map<ProgramId, Program> programs_;
  std::unordered_map<HoldOrder, ProgramId> placings_;
  std::map<HoldOrder, Release> releases_;
  std::map<std::string, Engine> engines_;
  std::unordered_set<ProgramId> closed_;
  std::deque<ProgramId> closedOrder_;
  std::uint64_t lastOrder_ = 0;
  std::size_t held_ = 0;
  Instant nextWake_ = Instant::max();
  bool stopping_ = false;
  std::vector<HoldCommand> commands_;
  HoldCounters counters_;
};

}  // namespace gorsetrail::engine
