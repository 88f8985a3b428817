/// \file Reads of followed topics by way of one node of the zone.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "edge/store_relay.h"
#include "ledger/home_selector.h"
#include "logstore/log_store.h"
#include "logstore/topic_gateway.h"

namespace gorsetrail::edge {

/// Knobs of `SharedTopicStore`.
struct SharedTopicStoreKnobs {
  Duration timeLimit = milliseconds(900);  ///< Of a read through another node.
  /// Without any reader a node reads the store itself where all nodes together could: members times
  /// keys, each written some once a second with 200 B, so 50,000 are 10 MB/s, an eighth of what a
  /// store sends. Such fleets need not wait a second and more for the next reader's claim.
  std::size_t mostMembersTimesKeys = 50000;
};

/// What `SharedTopicStore` knows of the zone's readers.
struct TopicReaderSources {
  /// Members that may read for the zone.
  std::function<std::vector<ledger::HomeCandidate>()> candidates;
  /// The reader that claims the zone, see `ReaderElection`; empty: none.
  std::function<std::string()> claimedReader;
  /// Whether this node is the claimed reader.
  std::function<bool()> isClaimedReader;
  /// A reader was not reached.
  std::function<void(const std::string& address)> onUnreachable;
  /// A reader answered from its copy.
  std::function<void(const std::string& address)> onAnswered;
  /// A reader lives and has nothing to answer from.
  std::function<void(const std::string& address)> onNoAnswer;
  /// Nobody who could read for the zone was reached.
  std::function<void()> onNoReader;
  /// How many nodes there are; 0: not known.
  std::function<std::size_t()> members;
};

/// All nodes follow the same topics. One node of each zone lists and reads them for the others, so
/// that neither the store's calls nor its bytes grow with the fleet. Asked are, one after the
/// other: who answered last, the readers that all members agree on, the zone's claimed reader. When
/// a reader lives and the store does not answer it, nobody else asks the store: after an outage
/// hundreds of nodes would each read all that was missed, more than its bandwidth takes, and reads
/// that run out of time are made again from the start. Appends go straight to the store.
class SharedTopicStore final : public logstore::LogStore {
 public:
  /// \param direct, relay outlive this object.
  SharedTopicStore(logstore::LogStore& direct, RelayedStore& relay, std::string ownAddress,
                   std::string zone, TopicReaderSources sources, logstore::ClockFunction clock,
                   SharedTopicStoreKnobs knobs);

  /// Serves a topic through its zone's reader. \param gateway outlives this object.
  void share(const logstore::PartitionAddress& partition, logstore::TopicGateway& gateway);
  /// \return the gateway that serves other nodes' reads of the partition, or null.
  [[nodiscard]] logstore::TopicGateway* gatewayOf(
      const logstore::PartitionAddress& partition) const;

  void append(logstore::AppendRequest request,
              logstore::StoreCallback<logstore::AppendReply> callback) override;
  void read(logstore::ReadRequest request,
            logstore::StoreCallback<logstore::ReadReply> callback) override;
  void newest(logstore::NewestRequest request,
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
  void askOwn(const std::shared_ptr<ReadCall>& call);
  void askOwn(const std::shared_ptr<ListingCall>& call);
  template <class Request, class Reply>
  void onReply(const std::shared_ptr<Call<Request, Reply>>& call, const std::string& reader,
               std::optional<logstore::StoreResult<Reply>> reply);
  /// \return whether the store bears that every node reads the partition for itself.
  [[nodiscard]] bool storeBearsAll(const logstore::PartitionAddress& partition) const;
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
  ledger::HomeSelector readers_{{}};
  std::map<logstore::PartitionAddress, logstore::TopicGateway*> gateways_;
  std::map<logstore::PartitionAddress, std::string> provenReaders_;  ///< Who answered last.
};

}  // namespace gorsetrail::edge
