/// \file Tells other nodes of this one, through one node of the zone that aggregates announcements.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "edge/member_table.h"
#include "ledger/home_selector.h"
#include "logstore/append_batcher.h"
#include "logstore/log_store.h"
#include "services/timer_service.h"

namespace gorsetrail::edge {

/// Knobs of `MemberAnnouncer`.
struct MemberAnnouncerKnobs {
  /// How long a aggregator keeps announcements for others that share their append.
  Duration aggregationWindow = milliseconds(300);
  Duration timeLimit = milliseconds(1500);
};

/// Announcements of all nodes go to one partition, which takes its appends in turn: hundreds of
/// nodes that each appended for themselves would fill it when the store is slow or all start at
/// once, and every try made again would fill it more. So one node of each zone aggregates them, and
/// none is sent before the one before it has ended; the next heartbeat takes the place of a lost
/// one.
class MemberAnnouncer {
 public:
  /// Sends an append to another node; calls back once with its result.
  using Forward = std::function<void(const std::string& address, logstore::AppendRequest request,
                                     logstore::StoreCallback<logstore::AppendReply> callback)>;

  /// \param store makes single calls; all arguments outlive this object.
  MemberAnnouncer(logstore::LogStore& store, services::TimerService& timers,
                  logstore::ClockFunction clock, logstore::PartitionAddress partition,
                  Forward forward, MemberAnnouncerKnobs knobs);

  /// \param candidates nodes of the zone that may aggregate; none: this node appends by itself.
  /// \param urgent sent beside one that is under way, and by this node itself.
  /// \return false when it was left out because an earlier one is still under way.
  bool announce(const std::string& ownAddress, const std::string& key, const MemberRecord& record,
                const std::vector<ledger::HomeCandidate>& candidates, bool urgent);
  /// Another node's announcement: aggregated with the own ones.
  void aggregate(logstore::AppendRequest request,
                 logstore::StoreCallback<logstore::AppendReply> callback);

 private:
  void append(std::string bytes, Duration window);

  logstore::ClockFunction clock_;
  logstore::PartitionAddress partition_;
  Forward forward_;
  MemberAnnouncerKnobs knobs_;
  logstore::AppendBatcher batcher_;
  ledger::HomeSelector aggregators_{{}};
  bool underWay_ = false;
};

}  // namespace gorsetrail::edge
