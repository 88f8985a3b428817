#include "edge/shared_topic_store.h"

#include <optional>
#include <utility>

namespace gorsetrail::edge {

SharedTopicStore::SharedTopicStore(logstore::LogStore& direct, RelayedStore& relay,
                                   std::string ownAddress, std::string zone, Candidates candidates,
                                   logstore::ClockFunction clock, SharedTopicStoreKnobs knobs)
    : direct_(direct),
      relay_(relay),
      ownAddress_(std::move(ownAddress)),
      zone_(std::move(zone)),
      candidates_(std::move(candidates)),
      clock_(std::move(clock)),
      knobs_(knobs) {}

void SharedTopicStore::share(const logstore::PartitionAddress& partition,
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

void SharedTopicStore::newest(logstore::NewestRequest request,
                              logstore::StoreCallback<logstore::NewestReply> callback) {
  direct_.newest(std::move(request), std::move(callback));
}

/// One read on its way through the zone's readers.
struct SharedTopicStore::Call {
  logstore::ReadRequest request;
  logstore::StoreCallback<logstore::ReadReply> callback;
  std::vector<std::string> readers;  ///< In the order they are asked.
  std::size_t asked = 0;
  /// What a reader said that lives and has no answer from the store.
  std::optional<logstore::StoreError> storeError;
};

void SharedTopicStore::read(logstore::ReadRequest request,
                            logstore::StoreCallback<logstore::ReadReply> callback) {
  if (gatewayOf(request.partition) == nullptr) {
    direct_.read(std::move(request), std::move(callback));
    return;
  }
  auto call = std::make_shared<Call>();
  call->readers = readers_.homesOf(request.partition, zone_, candidates_(), clock_());
  call->request = std::move(request);
  call->callback = std::move(callback);
  askNext(call);
}

void SharedTopicStore::askNext(const std::shared_ptr<Call>& call) {
  if (call->asked == call->readers.size()) {
    if (call->storeError) {
      call->callback(*call->storeError);
    } else {
      direct_.read(std::move(call->request), std::move(call->callback));
    }
    return;
  }
  const std::string reader = call->readers[call->asked];
  ++call->asked;
  if (reader == ownAddress_) {
    gatewayOf(call->request.partition)
        ->read(call->request, [this, call](logstore::StoreResult<logstore::ReadReply> result) {
          onReply(call, ownAddress_, std::move(result));
        });
    return;
  }
  logstore::ReadRequest asked = call->request;
  asked.timeLimit = knobs_.timeLimit;
  asked.wait = Duration::zero();
  relay_.readThrough(
      reader, std::move(asked),
      [this, call, reader](std::optional<logstore::StoreResult<logstore::ReadReply>> reply) {
        onReply(call, reader, std::move(reply));
      });
}

void SharedTopicStore::onReply(const std::shared_ptr<Call>& call, const std::string& reader,
                               std::optional<logstore::StoreResult<logstore::ReadReply>> reply) {
  if (!reply) {
    readers_.suspect(reader, clock_());
    askNext(call);
    return;
  }
  const auto* const error = std::get_if<logstore::StoreError>(&*reply);
  if (error == nullptr || error->fault == logstore::StoreFault::Compacted) {
    call->callback(std::move(*reply));
    return;
  }
  if (error->fault == logstore::StoreFault::NotKept) {
    direct_.read(std::move(call->request), std::move(call->callback));
    return;
  }
  call->storeError = *error;
  askNext(call);
}

}  // namespace gorsetrail::edge
