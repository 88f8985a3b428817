#include "logstore/topic_gateway.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::logstore {
namespace {

/// \return the reply with an empty record at every omitted offset, cut to `maximumRecords`.
ReadReply withEveryOffset(const ReadReply& sparse, std::uint64_t start,
                          std::size_t maximumRecords) {
  ReadReply dense;
  dense.end = sparse.end;
  dense.firstKept = sparse.firstKept;
  const std::uint64_t span = std::min<std::uint64_t>(sparse.changes->next - start, maximumRecords);
  dense.records.resize(span);
  for (std::size_t index = 0; index < sparse.records.size(); ++index) {
    const std::uint64_t at = sparse.changes->offsets[index] - start;
    if (at < span) {
      dense.records[at] = sparse.records[index];
    }
  }
  return dense;
}

}  // namespace

TopicGateway::TopicGateway(LogStore& store, services::TimerService& timers, ClockFunction clock,
                           PartitionAddress partition, CompactedTopic& copy,
                           TopicGatewayKnobs knobs)
    : store_(store),
      timers_(timers),
      clock_(std::move(clock)),
      partition_(std::move(partition)),
      copy_(copy),
      knobs_(knobs) {}

void TopicGateway::read(const ReadRequest& request, StoreCallback<ReadReply> callback) {
  queueForNextRound([this, request, callback = std::move(callback)](const StoreError* error) {
    if (error != nullptr) {
      callback(*error);
    } else {
      callback(replyTo(request));
    }
  });
}

void TopicGateway::listLatest(const NewestRequest& request, StoreCallback<NewestReply> callback) {
  auto answer = [this, after = request.afterKey,
                 callback = std::move(callback)](const StoreError* error) {
    if (error != nullptr) {
      callback(*error);
    } else {
      callback(pageAfter(after));
    }
  };
  if (request.afterKey.empty() || !copy_.isComplete()) {
    queueForNextRound(std::move(answer));
    return;
  }
  // Only the first page must be up to date: the requester then reads all changes from that page's
  // end offset.
  timers_.runAfter(Duration::zero(), [answer = std::move(answer)] { answer(nullptr); });
}

void TopicGateway::queueForNextRound(RoundCallback callback) {
  if (!copy_.isComplete()) {
    ++counters_.unlisted;
    timers_.runAfter(Duration::zero(), [callback = std::move(callback)] {
      const StoreError notListed{StoreFault::Busy, "this node has not listed the topic yet", 0};
      callback(&notListed);
    });
    return;
  }
  nextRound_.push_back(std::move(callback));
  if (!isRoundActive_) {
    scheduleRound();
  }
}

void TopicGateway::scheduleRound() {
  isRoundActive_ = true;
  const Duration pause =
      std::max(Duration::zero(), lastRoundAt_ + knobs_.minimumRoundInterval - clock_());
  timers_.runAfter(pause, [this] { startRound(); });
}

void TopicGateway::startRound() {
  lastRoundAt_ = clock_();
  currentRound_ = std::move(nextRound_);
  nextRound_.clear();
  readNext();
}

void TopicGateway::readNext() {
  ReadRequest request;
  request.partition = partition_;
  request.start = copy_.end();
  request.timeLimit = knobs_.readTimeout;
  request.acceptsSparseReply = true;
  const std::uint64_t start = request.start;
  store_.read(std::move(request),
              [this, start](const StoreResult<ReadReply>& result) { onRead(start, result); });
}

void TopicGateway::onRead(std::uint64_t start, const StoreResult<ReadReply>& result) {
  if (const auto* const error = std::get_if<StoreError>(&result)) {
    endRound(error);
    return;
  }
  const auto& reply = std::get<ReadReply>(result);
  if (reply.firstKept > start) {
    const StoreError dropped{
        StoreFault::Compacted,
        "the store dropped records that this node has not read; list the keys again",
        reply.firstKept};
    endRound(&dropped);
    return;
  }
  // The offsets count from the `start` of the request, not from `copy_.end()`: the node's own
  // follower may have advanced the copy since.
  copy_.applyReply(start, reply);
  const bool isBehind = copy_.end() < reply.end;
  if (isBehind && nextOffset(start, reply) > start) {
    readNext();
  } else {
    endRound(nullptr);
  }
}

NewestReply TopicGateway::pageAfter(const std::string& key) {
  NewestReply page = copy_.page(key, kMaximumReadBytes);
  ++counters_.pages;
  for (const KeyedItem& item : page.items) {
    counters_.bytes += item.key.size() + item.value.size();
  }
  return page;
}

StoreResult<ReadReply> TopicGateway::replyTo(const ReadRequest& request) {
  auto reply = copy_.changesSince(request.start, kMaximumReadBytes);
  if (!reply) {
    return StoreError{StoreFault::NotKept,
                      "this node does not cover the requested offset; list the keys again", 0};
  }
  ++counters_.changes;
  for (const std::string& record : reply->records) {
    counters_.bytes += record.size();
  }
  if (request.acceptsSparseReply) {
    return std::move(*reply);
  }
  return withEveryOffset(*reply, request.start, knobs_.maximumDenseRecords);
}

void TopicGateway::endRound(const StoreError* error) {
  const std::vector<RoundCallback> finishedRound = std::move(currentRound_);
  currentRound_.clear();
  isRoundActive_ = false;
  for (const RoundCallback& callback : finishedRound) {
    callback(error);
  }
  if (!nextRound_.empty() && !isRoundActive_) {
    scheduleRound();
  }
}

}  // namespace gorsetrail::logstore
