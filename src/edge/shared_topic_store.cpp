#include "edge/shared_topic_store.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace gorsetrail::edge {
namespace {

logstore::ReadRequest toReaderRequest(logstore::ReadRequest request, Duration timeLimit) {
  request.timeLimit = timeLimit;
  request.wait = Duration::zero();
  request.acceptsSparseReply = true;
  return request;
}

/// Keeps the caller's time limit, because the reader may send the same page to a whole zone at
/// once.
logstore::NewestRequest toReaderRequest(logstore::NewestRequest request, Duration /*timeLimit*/) {
  return request;
}

}  // namespace

SharedTopicStore::SharedTopicStore(logstore::LogStore& direct, RelayedStore& relay,
                                   std::string ownAddress, std::string zone,
                                   TopicReaderSources sources, logstore::ClockFunction clock,
                                   SharedTopicStoreKnobs knobs)
    : direct_(direct),
      relay_(relay),
      ownAddress_(std::move(ownAddress)),
      zone_(std::move(zone)),
      sources_(std::move(sources)),
      clock_(std::move(clock)),
      knobs_(knobs) {}

void SharedTopicStore::routeThroughReader(const logstore::PartitionAddress& partition,
                                          logstore::TopicGateway& gateway) {
  gateways_[partition] = &gateway;
}

logstore::TopicGateway* SharedTopicStore::gatewayOf(
    const logstore::PartitionAddress& partition) const {
  const auto found = gateways_.find(partition);
  return found == gateways_.end() ? nullptr : found->second;
}

void SharedTopicStore::append(logstore::AppendRequest request,
                              logstore::StoreCallback<logstore::AppendReply> callback) {
  direct_.append(std::move(request), std::move(callback));
}

void SharedTopicStore::callDirect(logstore::ReadRequest request,
                                  logstore::StoreCallback<logstore::ReadReply> callback) {
  direct_.read(std::move(request), std::move(callback));
}

void SharedTopicStore::callDirect(logstore::NewestRequest request,
                                  logstore::StoreCallback<logstore::NewestReply> callback) {
  direct_.listLatest(std::move(request), std::move(callback));
}

/// A pending call and the readers to try.
template <class Request, class Reply>
struct SharedTopicStore::Call {
  Request request;
  logstore::StoreCallback<Reply> callback;
  std::vector<std::string> readers;  ///< In the order in which they are tried.
  std::size_t nextReader = 0;
  /// Error of a reader that was reached but could not answer.
  std::optional<logstore::StoreError> readerError;
};

void SharedTopicStore::read(logstore::ReadRequest request,
                            logstore::StoreCallback<logstore::ReadReply> callback) {
  start<logstore::ReadRequest, logstore::ReadReply>(std::move(request), std::move(callback));
}

void SharedTopicStore::listLatest(logstore::NewestRequest request,
                                  logstore::StoreCallback<logstore::NewestReply> callback) {
  start<logstore::NewestRequest, logstore::NewestReply>(std::move(request), std::move(callback));
}

template <class Request, class Reply>
void SharedTopicStore::start(Request request, logstore::StoreCallback<Reply> callback) {
  if (gatewayOf(request.partition) == nullptr) {
    callDirect(std::move(request), std::move(callback));
    return;
  }
  auto call = std::make_shared<Call<Request, Reply>>();
  call->readers = readersOf(request.partition);
  call->request = std::move(request);
  call->callback = std::move(callback);
  askNext(call);
}

std::vector<std::string> SharedTopicStore::readersOf(const logstore::PartitionAddress& partition) {
  if (sources_.isClaimedReader()) {
    return {ownAddress_};
  }
  std::vector<std::string> readers;
  const auto add = [&readers](const std::string& address) {
    if (!address.empty() && std::find(readers.begin(), readers.end(), address) == readers.end()) {
      readers.push_back(address);
    }
  };
  add(lastGoodReaders_[partition]);
  for (const std::string& reader :
       readers_.selectNodes(partition, zone_, sources_.candidates(), clock_())) {
    add(reader);
  }
  add(sources_.claimedReader());
  return readers;
}

bool SharedTopicStore::canAllReadDirectly(const logstore::PartitionAddress& partition) const {
  const std::size_t members = sources_.members();
  const std::size_t keys = gatewayOf(partition)->copy().keys();
  return members > 0 && members * std::max<std::size_t>(keys, 1) <= knobs_.maximumMembersTimesKeys;
}

template <class Request, class Reply>
void SharedTopicStore::askNext(const std::shared_ptr<Call<Request, Reply>>& call) {
  if (call->nextReader == call->readers.size()) {
    if (call->readerError) {
      // The claimed reader is unreachable, and the other readers have not listed the topic.
      const bool hasNotListed = call->readerError->fault == logstore::StoreFault::Busy;
      if (hasNotListed && sources_.claimedReader().empty()) {
        sources_.onNoReader();
      }
      call->callback(*call->readerError);
      return;
    }
    sources_.onNoReader();
    if (canAllReadDirectly(call->request.partition)) {
      callDirect(std::move(call->request), std::move(call->callback));
      return;
    }
    call->callback(logstore::StoreError{logstore::StoreFault::NoAnswer,
                                        "no topic reader of this zone is reachable", 0});
    return;
  }
  const std::string reader = call->readers[call->nextReader];
  ++call->nextReader;
  if (reader == ownAddress_) {
    askSelf(call);
    return;
  }
  relay_.callThrough(reader, toReaderRequest(call->request, knobs_.timeLimit),
                     [this, call, reader](std::optional<logstore::StoreResult<Reply>> reply) {
                       onReply(call, reader, std::move(reply));
                     });
}

void SharedTopicStore::askSelf(const std::shared_ptr<ReadCall>& call) {
  gatewayOf(call->request.partition)
      ->read(call->request, [this, call](logstore::StoreResult<logstore::ReadReply> result) {
        onReply(call, ownAddress_, std::optional(std::move(result)));
      });
}

// The listing goes to the store, because it fills the copy from which this node serves its zone.
void SharedTopicStore::askSelf(const std::shared_ptr<ListingCall>& call) {
  callDirect(std::move(call->request), std::move(call->callback));
}

template <class Request, class Reply>
void SharedTopicStore::onReply(const std::shared_ptr<Call<Request, Reply>>& call,
                               const std::string& reader,
                               std::optional<logstore::StoreResult<Reply>> reply) {
  if (!reply) {
    readers_.suspect(reader, clock_());
    lastGoodReaders_.erase(call->request.partition);
    sources_.onUnreachable(reader);
    askNext(call);
    return;
  }
  const auto* const error = std::get_if<logstore::StoreError>(&*reply);
  if (error == nullptr || error->fault == logstore::StoreFault::Compacted) {
    // This node is not recorded, so that it stops reading directly once another claim replaces its
    // own.
    if (reader != ownAddress_) {
      lastGoodReaders_[call->request.partition] = reader;
    }
    sources_.onAnswered(reader);
    call->callback(std::move(*reply));
    return;
  }
  if (lastGoodReaders_[call->request.partition] == reader) {
    lastGoodReaders_.erase(call->request.partition);
  }
  if (error->fault == logstore::StoreFault::Busy) {
    sources_.onNoAnswer(reader);
  }
  // `NotKept` is returned only if all readers report it, because it makes the follower list the
  // topic again.
  if (!call->readerError || call->readerError->fault == logstore::StoreFault::NotKept) {
    call->readerError = *error;
  }
  askNext(call);
}

}  // namespace gorsetrail::edge
