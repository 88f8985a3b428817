/// \file Reads of a zone's reader by way of one reader of the whole fleet.
#pragma once

#include <functional>
#include <string>

#include "edge/store_relay.h"
#include "logstore/log_store.h"

namespace gorsetrail::edge {

/// Knobs of `FleetReaderStore`.
struct FleetReaderStoreKnobs {
  /// Of a read through the fleet's reader: its pause between two reads of the store, an answer of
  /// the store and the way there and back. After it the store itself is asked.
  Duration timeLimit = milliseconds(400);
};

/// What `FleetReaderStore` knows of the fleet's reader.
struct FleetReaderSources {
  std::function<std::string()> reader;  ///< Its address; empty: none is known.
  std::function<void(const std::string& address)> onUnreachable;
  std::function<void()> onNoReader;
};

/// Replicas write their registrations every second or two, and nearly all of them change nothing. A
/// zone's reader that followed them at the store would take 1 MB/s before 10,000 replicas, in each
/// of six zones. So the zones' readers elect one among them: it alone reads the store, and the
/// others take only changes from it. Where it does not answer, or has no answer itself, each asks
/// the store at once. Listings and appends go to the store.
class FleetReaderStore final : public logstore::LogStore {
 public:
  /// \param direct, relay outlive this object.
  FleetReaderStore(logstore::LogStore& direct, RelayedStore& relay, std::string ownAddress,
                   FleetReaderSources sources, FleetReaderStoreKnobs knobs);

  void append(logstore::AppendRequest request,
              logstore::StoreCallback<logstore::AppendReply> callback) override;
  void read(logstore::ReadRequest request,
            logstore::StoreCallback<logstore::ReadReply> callback) override;
  void newest(logstore::NewestRequest request,
              logstore::StoreCallback<logstore::NewestReply> callback) override;

 private:
  logstore::LogStore& direct_;
  RelayedStore& relay_;
  std::string ownAddress_;
  FleetReaderSources sources_;
  FleetReaderStoreKnobs knobs_;
};

}  // namespace gorsetrail::edge
