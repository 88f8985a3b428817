/// \file Reads followed topics through one node of the zone.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "edge/store_relay.h"
#include "ledger/rendezvous_selector.h"
#include "logstore/log_store.h"
#include "logstore/topic_gateway.h"

namespace gorsetrail::edge {

/// Settings of `SharedTopicStore`.
struct SharedTopicStoreKnobs {
  Duration timeLimit = milliseconds(900);  ///< Of a read through another node.
  /// If no reader is reachable and members times keys is at most this, nodes read the store
  /// directly. Each key is written about once a second with 200 B, so 50,000 are 10 MB/s, an eighth
  /// of what a store sends. Small fleets then do not have to wait a second or more for another
  /// reader's claim.
  std::size_t maximumMembersTimesKeys = 50000;
};

/// Callbacks of `SharedTopicStore` to find readers and to report on them.
struct TopicReaderSources {
  /// Members eligible as topic readers of this zone.
  std::function<std::vector<ledger::NodeCandidate>()> candidates;
  /// The zone's claimed reader, see `ReaderElection`; empty: none.
  std::function<std::string()> claimedReader;
  /// Returns whether this node is the claimed reader.
  std::function<bool()> isClaimedReader;
  /// Called when a reader could not be reached.
  std::function<void(const std::string& address)> onUnreachable;
  /// Called when a reader has answered from its copy.
  std::function<void(const std::string& address)> onAnswered;
  /// Called when a reader was reached but has not listed the topic, or the store is busy.
  std::function<void(const std::string& address)> onNoAnswer;
  /// Called when no reader of the zone could be reached.
  std::function<void()> onNoReader;
  /// Number of members; 0: unknown.
  std::function<std::size_t()> members;
};

/// A store client that reads the followed topics through one node of the zone, so that the load on
/// the store does not grow with the fleet. Readers are tried in this order: the last one
/// that answered, the readers by rendezvous hashing over the members, the zone's claimed reader. If
/// a reader is reachable but the store does not answer it, other nodes do not read the store
/// either: after an outage, hundreds of nodes that catch up at once would exceed its bandwidth.
/// Appends go directly to the store.
class SharedTopicStore final : public logstore::LogStore {
 public:
  /// `direct` and `relay` outlive this object.
  ///
  /// \param ownAddress relay address of this node.
  SharedTopicStore(logstore::LogStore& direct, RelayedStore& relay, std::string ownAddress,
                   std::string zone, TopicReaderSources sources, logstore::ClockFunction clock,
                   SharedTopicStoreKnobs knobs);

  /// Reads this partition through the zone's reader from now on.
  /// \param gateway serves the partition when this node is the reader; outlives this object.
  void routeThroughReader(const logstore::PartitionAddress& partition,
                          logstore::TopicGateway& gateway);
  /// \return the gateway that serves reads of the partition for other nodes, or null.
  [[nodiscard]] logstore::TopicGateway* gatewayOf(
      const logstore::PartitionAddress& partition) const;

  void append(logstore::AppendRequest request,
              logstore::StoreCallback<logstore::AppendReply> callback) override;
  void read(logstore::ReadRequest request,
            logstore::StoreCallback<logstore::ReadReply> callback) override;
  void listLatest(logstore::NewestRequest request,
                  logstore::StoreCallback<logstore::NewestReply> callback) override;

 private:
  template <class Request, class Reply>
  struct Call;
  template <class Request, class Reply>
  void start(Request request, logstore::StoreCallback<Reply> callback);
  template <class Request, class Reply>
  void askNext(const std::shared_ptr<Call<Request, Reply>>& call);
  using ReadCall = Call<logstore::ReadRequest, logstore::ReadReply>;
  using ListingCall = Call<logstore::NewestRequest, logstore::NewestReply>;
  void askSelf(const std::shared_ptr<ReadCall>& call);
  void askSelf(const std::shared_ptr<ListingCall>& call);
  template <class Request, class Reply>
  void onReply(const std::shared_ptr<Call<Request, Reply>>& call, const std::string& reader,
               std::optional<logstore::StoreResult<Reply>> reply);
  /// \return whether the store has the bandwidth for direct reads of the partition by every node.
  [[nodiscard]] bool canAllReadDirectly(const logstore::PartitionAddress& partition) const;
  [[nodiscard]] std::vector<std::string> readersOf(const logstore::PartitionAddress& partition);

  void callDirect(logstore::ReadRequest request,
                  logstore::StoreCallback<logstore::ReadReply> callback);
  void callDirect(logstore::NewestRequest request,
                  logstore::StoreCallback<logstore::NewestReply> callback);

  logstore::LogStore& direct_;
  RelayedStore& relay_;
  std::string ownAddress_;
  std::string zone_;
  TopicReaderSources sources_;
  logstore::ClockFunction clock_;
  SharedTopicStoreKnobs knobs_;
  ledger::RendezvousSelector readers_{{}};
  std::map<logstore::PartitionAddress, logstore::TopicGateway*> gateways_;
  /// The last reader that answered, by partition.
  std::map<logstore::PartitionAddress, std::string> lastGoodReaders_;
};

}  // namespace gorsetrail::edge
