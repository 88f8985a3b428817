#include "edge/member_announcer.h"

#include <utility>

namespace gorsetrail::edge {

MemberAnnouncer::MemberAnnouncer(logstore::LogStore& store, services::TimerService& timers,
                                 logstore::ClockFunction clock,
                                 logstore::PartitionAddress partition, Forward forward,
                                 MemberAnnouncerKnobs knobs)
    : clock_(std::move(clock)),
      partition_(std::move(partition)),
      forward_(std::move(forward)),
      knobs_(knobs),
      batcher_(store, timers, clock_, partition_, {}) {}

bool MemberAnnouncer::announce(const std::string& ownAddress, const std::string& key,
                               const MemberRecord& record,
                               const std::vector<ledger::NodeCandidate>& candidates, bool urgent) {
  if (isAppendPending_ && !urgent) {
    return false;
  }
  std::string bytes = logstore::encodeKeyedRecord(key, encodeMemberRecord(record));
  const std::vector<std::string> aggregators =
      aggregators_.selectNodes(partition_, record.zone, candidates, clock_());
  if (urgent || aggregators.empty()) {
    append(std::move(bytes), Duration::zero());
    return true;
  }
  const std::string& aggregator = aggregators.front();
  if (aggregator == ownAddress) {
    append(std::move(bytes), knobs_.aggregationWindow);
    return true;
  }
  isAppendPending_ = true;
  logstore::AppendRequest request{partition_, {bytes}, knobs_.timeLimit};
  forward_(aggregator, std::move(request),
           [this, aggregator,
            bytes = std::move(bytes)](const logstore::StoreResult<logstore::AppendReply>& result) {
             isAppendPending_ = false;
             if (std::holds_alternative<logstore::StoreError>(result)) {
               aggregators_.suspect(aggregator, clock_());
               append(bytes, Duration::zero());
             }
           });
  return true;
}

void MemberAnnouncer::append(std::string bytes, Duration window) {
  isAppendPending_ = true;
  batcher_.append(
      std::move(bytes), window, knobs_.timeLimit,
      [this](const logstore::StoreResult<std::uint64_t>&) { isAppendPending_ = false; });
}

void MemberAnnouncer::aggregate(logstore::AppendRequest request,
                                logstore::StoreCallback<logstore::AppendReply> callback) {
  if (request.records.size() != 1) {
    callback(logstore::StoreError{logstore::StoreFault::Rejected,
                                  "an announcement must have exactly one record", 0});
    return;
  }
  batcher_.append(
      std::move(request.records.front()), knobs_.aggregationWindow, knobs_.timeLimit,
      [callback = std::move(callback)](const logstore::StoreResult<std::uint64_t>& result) {
        if (const auto* const offset = std::get_if<std::uint64_t>(&result)) {
          callback(logstore::AppendReply{*offset, *offset + 1});
        } else {
          callback(std::get<logstore::StoreError>(result));
        }
      });
}

}  // namespace gorsetrail::edge
