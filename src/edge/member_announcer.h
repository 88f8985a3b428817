/// \file Announces this node to the others through a node of the zone that batches announcements.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "edge/member_table.h"
#include "ledger/rendezvous_selector.h"
#include "logstore/append_batcher.h"
#include "logstore/log_store.h"
#include "services/timer_service.h"

namespace gorsetrail::edge {

/// Settings of `MemberAnnouncer`.
struct MemberAnnouncerKnobs {
  /// How long an aggregator delays an announcement to batch it with others into one append.
  Duration aggregationWindow = milliseconds(300);
  Duration timeLimit = milliseconds(1500);  ///< Of one announcement.
};

/// Writes this node's heartbeat records to the member topic. One node of each zone batches the
/// records of the others, because hundreds of nodes that append individually would overload the
/// topic's single partition when the store is slow or all nodes start together. No announcement is
/// sent while the previous one is pending; the next heartbeat replaces a lost one.
class MemberAnnouncer {
 public:
  /// Sends an append to another node; calls back once with the result.
  using Forward = std::function<void(const std::string& address, logstore::AppendRequest request,
                                     logstore::StoreCallback<logstore::AppendReply> callback)>;

  /// All reference arguments outlive this object.
  ///
  /// \param store makes single attempts.
  MemberAnnouncer(logstore::LogStore& store, services::TimerService& timers,
                  logstore::ClockFunction clock, logstore::PartitionAddress partition,
                  Forward forward, MemberAnnouncerKnobs knobs);

  /// Announces this node: through the aggregator, or directly if that fails.
  ///
  /// \param ownAddress relay address of this node.
  /// \param candidates nodes of the zone that may aggregate; if empty, this node appends directly.
  /// \param urgent append directly, even while an earlier announcement is pending.
  /// \return false if skipped because an earlier announcement is pending.
  bool announce(const std::string& ownAddress, const std::string& key, const MemberRecord& record,
                const std::vector<ledger::NodeCandidate>& candidates, bool urgent);
  /// Batches another node's announcement with this node's own.
  void aggregate(logstore::AppendRequest request,
                 logstore::StoreCallback<logstore::AppendReply> callback);

 private:
  void append(std::string bytes, Duration window);

  logstore::ClockFunction clock_;
  logstore::PartitionAddress partition_;
  Forward forward_;
  MemberAnnouncerKnobs knobs_;
  logstore::AppendBatcher batcher_;
  ledger::RendezvousSelector aggregators_{{}};
  bool isAppendPending_ = false;
};

}  // namespace gorsetrail::edge
