#include "logstore/topic_gateway.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::logstore {

TopicGateway::TopicGateway(LogStore& store, services::TimerService& timers, ClockFunction clock,
                           PartitionAddress partition, IsUnchanged isUnchanged,
                           TopicGatewayKnobs knobs)
    : store_(store),
      timers_(timers),
      clock_(std::move(clock)),
      partition_(std::move(partition)),
      isUnchanged_(std::move(isUnchanged)),
      knobs_(knobs) {}

void TopicGateway::read(const ReadRequest& request, StoreCallback<ReadReply> callback) {
  waiting_.push_back({request.start, std::move(callback)});
  if (inRound_) {
    return;
  }
  inRound_ = true;
  const Duration pause = std::max(Duration::zero(), lastRoundAt_ + knobs_.pause - clock_());
  timers_.runAfter(pause, [this] { startRound(); });
}

void TopicGateway::startRound() {
  lastRoundAt_ = clock_();
  served_ = std::move(waiting_);
  waiting_.clear();
  const auto first = std::min_element(
      served_.begin(), served_.end(),
      [](const Waiter& left, const Waiter& right) { return left.start < right.start; });
  const bool startsBefore = first->start < cacheStart_;
  // The first to ask a new reader may be ahead of the others: it begins anew for them, once,
  // instead of sending each of them to the store.
  const bool worthReading = startsBefore && cacheEnd() - first->start <= knobs_.cachedRecords;
  if (cache_.empty() || worthReading) {
    cache_.clear();
    cacheStart_ = first->start;
    newestValues_.clear();
  }
  readNext();
}

void TopicGateway::readNext() {
  ReadRequest request;
  request.partition = partition_;
  request.start = cacheEnd();
  request.timeLimit = knobs_.patience;
  store_.read(std::move(request), [this](const StoreResult<ReadReply>& result) { onRead(result); });
}

void TopicGateway::onRead(const StoreResult<ReadReply>& result) {
  if (const auto* const error = std::get_if<StoreError>(&result)) {
    if (error->fault == StoreFault::Compacted) {
      cache_.clear();
    }
    endRound(error);
    return;
  }
  const auto& reply = std::get<ReadReply>(result);
  if (reply.firstKept > cacheEnd()) {
    cache_.clear();
    const StoreError gone{StoreFault::Compacted, "records that were never read are gone",
                          reply.firstKept};
    endRound(&gone);
    return;
  }
  for (const std::string& record : reply.records) {
    keep(record);
  }
  const bool behind = cacheEnd() < reply.end;
  if (behind && !reply.records.empty()) {
    readNext();
  } else {
    endRound(nullptr);
  }
}

void TopicGateway::keep(const std::string& record) {
  auto [key, value] = decodeKeyedRecord(record);
  const auto known = newestValues_.find(key);
  const bool unchanged =
      known != newestValues_.end() && !value.empty() && isUnchanged_(known->second, value);
  cache_.push_back(unchanged ? std::string() : record);
  if (value.empty()) {
    newestValues_.erase(key);
  } else {
    newestValues_[std::move(key)] = std::move(value);
  }
  if (cache_.size() > knobs_.cachedRecords) {
    cache_.pop_front();
    ++cacheStart_;
  }
}

StoreResult<ReadReply> TopicGateway::replyFrom(std::uint64_t start) const {
  if (start < cacheStart_ || start > cacheEnd()) {
    return StoreError{StoreFault::NotKept, "these offsets are not kept here", 0};
  }
  ReadReply reply;
  reply.end = cacheEnd();
  reply.firstKept = start;
  std::size_t bytes = 0;
  for (auto at = cache_.begin() + static_cast<std::ptrdiff_t>(start - cacheStart_);
       at != cache_.end() && bytes < kMaximumReadBytes; ++at) {
    bytes += at->size();
    reply.records.push_back(*at);
  }
  return reply;
}

void TopicGateway::endRound(const StoreError* error) {
  const std::vector<Waiter> served = std::move(served_);
  served_.clear();
  inRound_ = false;
  for (const Waiter& waiter : served) {
    if (error != nullptr) {
      waiter.callback(*error);
    } else {
      waiter.callback(replyFrom(waiter.start));
    }
  }
  if (!waiting_.empty() && !inRound_) {
    inRound_ = true;
    timers_.runAfter(std::max(Duration::zero(), lastRoundAt_ + knobs_.pause - clock_()),
                     [this] { startRound(); });
  }
}

}  // namespace gorsetrail::logstore
