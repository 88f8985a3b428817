#include "edge/fleet_reader_store.h"

#include <optional>
#include <utility>

namespace gorsetrail::edge {

FleetReaderStore::FleetReaderStore(logstore::LogStore& direct, RelayedStore& relay,
                                   std::string ownAddress, FleetReaderSources sources,
                                   FleetReaderStoreKnobs knobs)
    : direct_(direct),
      relay_(relay),
      ownAddress_(std::move(ownAddress)),
      sources_(std::move(sources)),
      knobs_(knobs) {}

void FleetReaderStore::append(logstore::AppendRequest request,
                              logstore::StoreCallback<logstore::AppendReply> callback) {
  direct_.append(std::move(request), std::move(callback));
}

void FleetReaderStore::newest(logstore::NewestRequest request,
                              logstore::StoreCallback<logstore::NewestReply> callback) {
  direct_.newest(std::move(request), std::move(callback));
}

void FleetReaderStore::read(logstore::ReadRequest request,
                            logstore::StoreCallback<logstore::ReadReply> callback) {
  const std::string reader = sources_.reader();
  if (reader.empty()) {
    sources_.onNoReader();
  }
  if (reader.empty() || reader == ownAddress_) {
    direct_.read(std::move(request), std::move(callback));
    return;
  }
  logstore::ReadRequest asked = request;
  asked.timeLimit = knobs_.timeLimit;
  asked.changesOnly = true;
  relay_.callThrough(
      reader, std::move(asked),
      [this, reader, request = std::move(request), callback = std::move(callback)](
          std::optional<logstore::StoreResult<logstore::ReadReply>> reply) mutable {
        if (!reply) {
          sources_.onUnreachable(reader);
        }
        const auto* const error = reply ? std::get_if<logstore::StoreError>(&*reply) : nullptr;
        const bool isAnswer =
            reply && (error == nullptr || error->fault == logstore::StoreFault::Compacted);
        if (isAnswer) {
          callback(std::move(*reply));
        } else {
          direct_.read(std::move(request), std::move(callback));
        }
      });
}

}  // namespace gorsetrail::edge
