/// \file Keeps the unanswered runs of requests the same at all nodes.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "edge/request_record_message.h"
#include "edge/request_record_peers.h"
#include "edge/run_history_directory.h"
#include "engine/token_bucket.h"
#include "routing/run_histories.h"
#include "services/timer_service.h"

namespace gorsetrail::edge {

/// Settings of `RunHistorySharing`.
struct RunHistorySharingKnobs {
  routing::RunHistoryKnobs histories;
  /// A change is sent a second time after this time, because datagrams may be lost.
  Duration repeatAfter = milliseconds(50);
  /// Interval at which a node compares its histories with those of a random other node. Shorter
  /// for a node that has just started and knows none.
  Duration comparisonPeriod = milliseconds(1000);
  Duration startComparisonPeriod = milliseconds(100);
  Duration startTime = seconds(5);
  /// Datagrams a second with which all nodes are told of changes, and the most at once. Beyond them
  /// a change goes to its holders only, and reaches the others by comparisons.
  double datagramsPerSecond = 2000;
  double datagramBurst = 8000;
  HolderCounts holders{4, 1};
  std::size_t maximumHistoriesInMessage = 4;  ///< So that a datagram is not fragmented.
  std::size_t maximumMessagesInReply = 16;    ///< The next comparison brings others.
  Duration maximumLifetime = seconds(600);
  /// Interval at which this process notices that it was suspended. Datagrams that waited meanwhile
  /// are read late, so that the ages in them are wrong.
  Duration suspensionCheckPeriod = milliseconds(50);
  Duration longestDelay = milliseconds(100);      ///< Of a check; a longer one shows a suspension.
  Duration lateDatagramTime = milliseconds(200);  ///< For so long afterwards ages are not used.
};

/// Tells all other nodes of each change at once, without waiting for replies. What a node missed,
/// because a datagram was lost, it was cut off or had not started yet, it gets by comparing digests
/// with random nodes (anti-entropy; Demers et al., "Epidemic Algorithms for Replicated Database
/// Maintenance", 1987).
class RunHistorySharing final : public RunHistoryDirectory {
 public:
  using Send = std::function<void(const std::vector<std::string>& addresses,
                                  const RequestRecordMessage& message)>;

  /// \param timers, peers outlive this object. \param registrations this node's view of the
  /// replicas' registrations.
  RunHistorySharing(services::TimerService& timers, std::function<Instant()> clock,
                    RequestRecordPeers& peers,
                    std::function<routing::RegistrationView()> registrations, Send send,
                    RunHistorySharingKnobs knobs, std::uint64_t seed);

  /// Starts comparing histories with other nodes.
  void start();

  [[nodiscard]] bool isEmpty() const override { return histories_.isEmpty(); }
  [[nodiscard]] bool hasHistory(const routing::RequestKey& request) const override {
    return histories_.find(request) != nullptr;
  }
  [[nodiscard]] std::size_t countedRuns(const routing::RequestKey& request) const override;
  [[nodiscard]] bool isUncertain(const routing::RequestKey& request,
                                 std::uint64_t number) const override;
  [[nodiscard]] std::uint64_t nextRunNumber() override;
  [[nodiscard]] std::optional<std::uint64_t> runSince(const routing::RequestKey& request,
                                                      const routing::ReplicaRun& run,
                                                      Instant since) const override {
    return histories_.runSince(request, run, since);
  }
  void record(const routing::RequestKey& request, routing::ReplicaRun run,
              Duration keepFor) override;
  void settle(const routing::RequestKey& request, std::uint64_t number, routing::RunState state,
              routing::RunEvidence evidence) override;
  void clear(const routing::RequestKey& request, std::optional<std::uint32_t> session,
             Instant until, routing::RunEvidence evidence) override;
  [[nodiscard]] routing::QuarantineDecision decide(
      const routing::RequestKey& request) const override;

  void onMessage(const std::string& sender, const RunHistoriesMessage& message);
  void onMessage(const std::string& sender, const RunHistoriesQuery& query);

  [[nodiscard]] const routing::RunHistories& histories() const { return histories_; }
  /// \return the number of changes that were sent to their holders only.
  [[nodiscard]] std::uint64_t limitedBroadcasts() const { return limitedBroadcasts_; }

 private:
  void broadcast(const routing::RequestKey& request);
  /// Sends the history to all nodes, or to its holders beyond the rate.
  void sendHistory(const routing::RequestKey& request);
  void compareLoop();
  void suspensionLoop();
  /// \return whether datagrams may have waited while this process was suspended.
  [[nodiscard]] bool mayReadLate(Instant now) const;

  services::TimerService& timers_;
  std::function<Instant()> clock_;
  RequestRecordPeers& peers_;
  std::function<routing::RegistrationView()> registrations_;
  Send send_;
  RunHistorySharingKnobs knobs_;
  RandomSource random_;
  routing::RunHistories histories_;
  engine::TokenBucket datagrams_;
  Instant startedAt_{};
  std::optional<Instant> suspensionCheckedAt_;
  Instant readsLateUntil_{};
  std::uint64_t limitedBroadcasts_ = 0;
};

}  // namespace gorsetrail::edge
