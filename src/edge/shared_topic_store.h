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
};

/// All nodes follow the same topics. One node of each zone reads them for the others, so that the
/// store's calls do not grow with the fleet. The second reader is asked when the first one fails;
/// only who reaches neither of them reads the store. When a reader lives and the store does not
/// answer it, nobody else asks the store: after an outage hundreds of nodes would each read all
/// that was missed, more than its bandwidth takes, and reads that run out of time are made again
/// from the start. Listings and appends go straight to the store.
class SharedTopicStore final : public logstore::LogStore {
 public:
  using Candidates = std::function<std::vector<ledger::HomeCandidate>()>;

  /// \param direct, relay outlive this object.
  SharedTopicStore(logstore::LogStore& direct, RelayedStore& relay, std::string ownAddress,
                   std::string zone, Candidates candidates, logstore::ClockFunction clock,
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
  struct Call;
  void askNext(const std::shared_ptr<Call>& call);
  void onReply(const std::shared_ptr<Call>& call, const std::string& reader,
               std::optional<logstore::StoreResult<logstore::ReadReply>> reply);

  logstore::LogStore& direct_;
  RelayedStore& relay_;
  std::string ownAddress_;
  std::string zone_;
  Candidates candidates_;
  logstore::ClockFunction clock_;
  SharedTopicStoreKnobs knobs_;
  ledger::HomeSelector readers_{{}};
  std::map<logstore::PartitionAddress, logstore::TopicGateway*> gateways_;
};

}  // namespace gorsetrail::edge
