#include "logstore/topic_gateway.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::logstore {
namespace {

/// \return the reply with an empty record at every offset that it leaves out.
ReadReply withEveryOffset(const ReadReply& sparse, std::uint64_t start, std::size_t mostRecords) {
  ReadReply dense;
  dense.end = sparse.end;
  dense.firstKept = sparse.firstKept;
  const std::uint64_t span = std::min<std::uint64_t>(sparse.changes->next - start, mostRecords);
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
  await([this, request, callback = std::move(callback)](const StoreError* error) {
    if (error != nullptr) {
      callback(*error);
    } else {
      callback(replyTo(request));
    }
  });
}

void TopicGateway::newest(const NewestRequest& request, StoreCallback<NewestReply> callback) {
  auto answer = [this, after = request.afterKey,
                 callback = std::move(callback)](const StoreError* error) {
    if (error != nullptr) {
      callback(*error);
    } else {
      callback(pageAfter(after));
    }
  };
  if (request.afterKey.empty() || !copy_.isComplete()) {
    await(std::move(answer));
    return;
  }
  // Pages are no snapshot: who lists reads on from the first page's end, and only that must be
  // new.
  timers_.runAfter(Duration::zero(), [answer = std::move(answer)] { answer(nullptr); });
}

void TopicGateway::await(Waiter waiter) {
  if (!copy_.isComplete()) {
    ++counters_.unlisted;
    timers_.runAfter(Duration::zero(), [waiter = std::move(waiter)] {
      const StoreError listing{StoreFault::Busy, "this node has not listed the topic yet", 0};
      waiter(&listing);
    });
    return;
  }
  waiting_.push_back(std::move(waiter));
  if (!inRound_) {
    scheduleRound();
  }
}

void TopicGateway::scheduleRound() {
  inRound_ = true;
  const Duration pause = std::max(Duration::zero(), lastRoundAt_ + knobs_.pause - clock_());
  timers_.runAfter(pause, [this] { startRound(); });
}

void TopicGateway::startRound() {
  lastRoundAt_ = clock_();
  served_ = std::move(waiting_);
  waiting_.clear();
  readNext();
}

void TopicGateway::readNext() {
  ReadRequest request;
  request.partition = partition_;
  request.start = copy_.end();
  request.timeLimit = knobs_.patience;
  request.changesOnly = true;
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
    const StoreError gone{StoreFault::Compacted, "records that were never read are gone",
                          reply.firstKept};
    endRound(&gone);
    return;
  }
  // The node's own follower may have moved the copy on meanwhile: the records stand where they were
  // asked from.
  copy_.take(start, reply);
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
    return StoreError{StoreFault::NotKept, "these offsets are not kept here", 0};
  }
  ++counters_.changes;
  for (const std::string& record : reply->records) {
    counters_.bytes += record.size();
  }
  if (request.changesOnly) {
    return std::move(*reply);
  }
  return withEveryOffset(*reply, request.start, knobs_.mostRecords);
}

void TopicGateway::endRound(const StoreError* error) {
  const std::vector<Waiter> served = std::move(served_);
  served_.clear();
  inRound_ = false;
  for (const Waiter& waiter : served) {
    waiter(error);
  }
  if (!waiting_.empty() && !inRound_) {
    scheduleRound();
  }
}

}  // namespace gorsetrail::logstore
