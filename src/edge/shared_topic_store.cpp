#include "edge/shared_topic_store.h"

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

void SharedTopicStore::read(logstore::ReadRequest request,
                            logstore::StoreCallback<logstore::ReadReply> callback) {
  logstore::TopicGateway* const gateway = gatewayOf(request.partition);
  const std::vector<std::string> readers =
      gateway == nullptr ? std::vector<std::string>()
                         : readers_.homesOf(request.partition, zone_, candidates_(), clock_());
  if (readers.empty()) {
    direct_.read(std::move(request), std::move(callback));
  } else if (readers.front() == ownAddress_) {
    gateway->read(request, std::move(callback));
  } else {
    readThrough(readers.front(), request, std::move(callback));
  }
}

void SharedTopicStore::readThrough(const std::string& reader, const logstore::ReadRequest& request,
                                   logstore::StoreCallback<logstore::ReadReply> callback) {
  logstore::ReadRequest asked = request;
  asked.timeLimit = knobs_.timeLimit;
  asked.wait = Duration::zero();
  relay_.readThrough(reader, std::move(asked),
                     [this, reader, request, callback = std::move(callback)](
                         logstore::StoreResult<logstore::ReadReply> result) {
                       const auto* const error = std::get_if<logstore::StoreError>(&result);
                       if (error == nullptr || error->fault == logstore::StoreFault::Compacted) {
                         callback(std::move(result));
                         return;
                       }
                       readers_.suspect(reader, clock_());
                       direct_.read(request, callback);
                     });
}

}  // namespace gorsetrail::edge
