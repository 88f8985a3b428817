/// \file Histories and budgets by way of the homes of their partitions.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "engine/circuit_breaker.h"
#include "ledger/call_trace.h"
#include "ledger/home_selector.h"
#include "ledger/ledger.h"
#include "ledger/ledger_message.h"
#include "ledger/ledger_partitions.h"
#include "ledger/ledger_service.h"
#include "logstore/call_pacer.h"
#include "logstore/persistent_store.h"
#include "services/timer_service.h"

namespace gorsetrail::ledger {

/// Sends ledger calls to other nodes.
class LedgerPeers {
 public:
  virtual ~LedgerPeers() = default;
  /// \return the nodes that may be homes now, this one included.
  [[nodiscard]] virtual std::vector<HomeCandidate> candidates() const = 0;
  /// \return whether it is known who may be a home. Before that nothing is asked: a node that took
  /// all partitions for its own would read the whole store.
  [[nodiscard]] virtual bool areKnown() const = 0;
  /// Asks a node for a sign of life. Calls back once, never from inside the call.
  virtual void checkAlive(const std::string& address, Duration limit,
                          std::function<void(bool alive)> callback) = 0;
  /// Calls back once, never from inside the call; without a value when no reply came.
  virtual void call(const std::string& address, const LedgerRequest& request, Duration timeLimit,
                    std::function<void(std::optional<LedgerReply>)> callback) = 0;
};

/// Knobs of `RoutedLedger`.
struct RoutedLedgerKnobs {
  std::string ownAddress;          ///< Where this node's own ledger calls arrive.
  std::string zone;                ///< New turns stand here.
  std::vector<std::string> zones;  ///< All zones: where else a turn may stand.
  /// Zones of one region are near each other; a zone without an entry is near all others.
  std::map<std::string, std::string, std::less<>> regionOfZone;
  LedgerPartitionsKnobs partitions;
  std::size_t maximumInlineHistoryBytes = std::size_t{32} * 1024;
  Duration findTimeLimit = milliseconds(1500);
  /// A turn that is not stored for so long is stored in its second partition too.
  Duration secondChoiceAfter = milliseconds(600);
  bool usesSecondPartitions = true;
  Duration settleTimeLimit = milliseconds(1500);
  Duration accountLifetime = seconds(300);
  /// When to ask a silent home for a sign of life: learned from replies, within these bounds.
  logstore::CallPacerKnobs pace{milliseconds(60), milliseconds(800), 3.0, milliseconds(15),
                                milliseconds(400)};
  /// A call that is not answered for so long, and for longer than is usual, says that the store
  /// does not answer the home.
  Duration storeTimeLimit = milliseconds(500);
  /// Between two questions for a sign of life.
  Duration signOfLifePeriod = milliseconds(150);
  Duration signOfLifeLimit = milliseconds(100);
  /// A home's word that it can't decide reservations is believed for so long: it is then asked
  /// before a turn is dispatched, which costs one round trip.
  Duration hintLifetime = seconds(2);
  /// Told when a node begins to count as silent, and when it answers again.
  std::function<void(const std::string& address, bool silent)> onSilence;
};

/// What became of ledger calls; all only rise.
struct RoutedLedgerCounters {
  std::uint64_t calls = 0;
  std::uint64_t passedOn = 0;  ///< To the next home, because one failed or was silent.
  std::uint64_t failed = 0;    ///< No home and not the store could say anything.
};

/// How a call ended: the reply that counts, and what each node said.
struct CallEnd {
  LedgerReply reply;
  std::string repliedBy;               ///< The node whose reply it is; empty: nobody's.
  std::vector<CoordinatorWord> asked;  ///< In the order they were asked.
  bool homeLives = false;              ///< A home replied, or answered a liveness probe.
};

/// Asks the partition's home, then the next one. This node reads the store for itself only when it
/// reaches no home at all: a home that lives and cannot be answered by the store shows that the
/// store is out of order, and hundreds of nodes that each read whole partitions then would fill the
/// store's bandwidth for long after its return. What only appends is tried by this node in any
/// case. A home that is only slow is waited for as long as it gives signs of life: it waits for the
/// store or reads the partition. Asking the next one as well would have both of them write, and
/// each read what the other wrote. Asking several is safe, though: what they write are facts that
/// may stand twice, and the log's order decides what they answer. A home only makes calls fewer: it
/// gathers the appends of all nodes, and answers from memory. Partitions of confined turns are read
/// by nodes of their region alone, so no home elsewhere is asked, and this node reads one only
/// where it is in that region.
class RoutedLedger final : public Ledger {
 public:
  /// \param service this node's own ledger; it and all others outlive this object.
  RoutedLedger(LedgerService& service, LedgerPeers& peers, services::TimerService& timers,
               logstore::ClockFunction clock, RoutedLedgerKnobs knobs, std::uint64_t seed);

  void findHistory(const TurnName& turn, HistoryCallback callback) override;
  void storeTurn(TurnToStore turn, Duration timeLimit, StoredCallback callback) override;
  void reserve(const BudgetRequest& request, Duration timeLimit,
               ReservationCallback callback) override;
  void settle(BudgetSettlement settlement) override;
  [[nodiscard]] bool takesTurn(const TurnName& turn) override;
  [[nodiscard]] ReservationOutlook reservationOutlook(const std::string& program) override;
  [[nodiscard]] std::uint64_t knownUse(const std::string& program) const override;

  /// Takes over the zones and regions of settings that were read anew; calls under way go on with
  /// the places that they were begun with.
  void setZones(std::vector<std::string> zones,
                std::map<std::string, std::string, std::less<>> regionOfZone);
  /// \return whether the node gave no sign of life when it was asked a moment ago.
  [[nodiscard]] bool isSuspect(const std::string& address) const {
    return homes_.isSuspect(address, clock_());
  }
  /// Keeps the leases of budget partitions whose first home this node is, and gives others back;
  /// call it about once a second.
  void tendLeases();
  /// Gives all leases back, before a planned stop.
  void giveLeasesBack();
  /// Forgets programs long gone; call it now and then.
  void sweep();
  [[nodiscard]] const RoutedLedgerCounters& counters() const { return counters_; }

 private:
  using CallEndCallback = std::function<void(CallEnd)>;
  struct Call;
  struct KnownUse {
    std::uint64_t tokens = 0;
    Instant heardAt;
  };

  void start(LedgerRequest request, const logstore::PartitionAddress& partition,
             const std::string& homeZone, Duration timeLimit, CallEndCallback callback);
  /// Calls back from the loop that nothing can be said.
  void fail(LedgerReply reply, CallEndCallback callback);
  void tryNext(const std::shared_ptr<Call>& call);
  [[nodiscard]] bool hasNext(const Call& call) const;
  void onReply(const std::shared_ptr<Call>& call, const std::string& home, Instant askedAt,
               std::optional<LedgerReply> reply);
  static void noteReply(Call& call, const std::string& home, Instant now,
                        const std::optional<LedgerReply>& reply);
  void finish(const std::shared_ptr<Call>& call, LedgerReply reply);
  /// Partitions that are searched at once.
  using Wave = std::vector<TurnPlacement>;
  struct Search;
  [[nodiscard]] std::vector<Wave> wavesFor(const TurnZones& zones) const;
  void searchNext(const std::shared_ptr<Search>& search);
  void onSearched(const std::shared_ptr<Search>& search, const TurnPlacement& placement,
                  CallEnd end);
  [[nodiscard]] bool areNear(std::string_view zone, std::string_view other) const;
  /// \return the partition that new turns with this limit are stored in.
  [[nodiscard]] TurnPlacement placementFor(const TurnZones& zones, std::uint32_t choice) const;
  [[nodiscard]] std::vector<HomeCandidate> candidatesFor(const TurnPlacement* placement) const;
  struct Storing;
  void storeIn(std::uint32_t choice, const std::shared_ptr<Storing>& storing);
  void storeInOther(std::uint32_t choice, const std::shared_ptr<Storing>& storing);
  void onStored(std::uint32_t choice, const std::shared_ptr<Storing>& storing,
                const LedgerReply& reply);
  void onTurnFound(LedgerReply reply, const TurnZones& zones, HistoryCallback callback);
  void watchSilence(const std::shared_ptr<Call>& call, Duration patience);
  void onImpatience(const std::shared_ptr<Call>& call, Duration patience);
  void onSignOfLife(const std::shared_ptr<Call>& call, Duration patience, bool alive);
  void suspect(const std::string& home);
  void noteFailure(const logstore::PartitionAddress& partition);
  void noteHint(const Call& call, const LedgerReply& reply);
  [[nodiscard]] bool answers(const logstore::PartitionAddress& partition) const;

  LedgerService& service_;
  LedgerPeers& peers_;
  services::TimerService& timers_;
  logstore::ClockFunction clock_;
  RoutedLedgerKnobs knobs_;
  LedgerPartitions layout_;
  HomeSelector homes_;
  logstore::CallPacer pacer_;
  RoutedLedgerCounters counters_;
  std::unordered_map<std::string, KnownUse> knownUse_;
  /// Only partitions whose last call failed.
  std::map<logstore::PartitionAddress, engine::CircuitBreaker> failing_;
  /// When a home last said that it could not decide reservations of the partition.
  std::map<logstore::PartitionAddress, Instant> undecidedAt_;
};

}  // namespace gorsetrail::ledger
