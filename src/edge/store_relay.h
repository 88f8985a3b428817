/// \file Client and server of store calls that one node makes on behalf of another.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "logstore/log_store.h"
#include "logstore/store_message.h"

namespace gorsetrail::edge {

/// Executes store calls of other nodes, one attempt each.
class StoreRelayServer {
 public:
  /// \param direct the direct connection to the store, never a relay, so that calls are not
  /// forwarded in a loop. Outlives this object.
  explicit StoreRelayServer(logstore::LogStore& direct) : direct_(direct) {}
  using AppendHandler =
      std::function<void(logstore::AppendRequest, logstore::StoreCallback<logstore::AppendReply>)>;
  /// Passes appends to this partition to the handler instead of the store.
  void interceptAppends(logstore::PartitionAddress partition, AppendHandler handler) {
    interceptedPartition_ = std::move(partition);
    appendHandler_ = std::move(handler);
  }
  /// Returns whether it handles the read.
  using ReadHandler = std::function<bool(const logstore::ReadRequest&,
                                         const logstore::StoreCallback<logstore::ReadReply>&)>;
  /// Offers reads to the handler before the store.
  void interceptReads(ReadHandler handler) { readHandler_ = std::move(handler); }
  /// Returns whether it handles the listing.
  using ListingHandler = std::function<bool(const logstore::NewestRequest&,
                                            const logstore::StoreCallback<logstore::NewestReply>&)>;
  /// Offers listings to the handler before the store.
  void interceptListings(ListingHandler handler) { listingHandler_ = std::move(handler); }
  /// Handles one store call and answers with its result.
  void onRequest(const http::ServerRequest& request, http::ResponseWriterPtr writer);

 private:
  void onRead(logstore::ReadRequest request, logstore::StoreCallback<logstore::ReadReply> reply);
  void onListing(logstore::NewestRequest request,
                 logstore::StoreCallback<logstore::NewestReply> reply);

  logstore::LogStore& direct_;
  ReadHandler readHandler_;
  ListingHandler listingHandler_;
  logstore::PartitionAddress interceptedPartition_;
  AppendHandler appendHandler_;
};

/// A store client that relays calls through another node: the one whose last call reached the
/// store, else a random one. Other nodes may be cut off from the store as well, and a random choice
/// for each call would fail for that share of the calls.
class RelayedStore final : public logstore::LogStore {
 public:
  /// Returns relay addresses of other nodes that may relay calls for the partition.
  using Relays = std::function<std::vector<std::string>(const logstore::PartitionAddress&)>;

  RelayedStore(http::HttpClient& client, Relays relays, std::uint64_t seed);

  /// Appends through the given node.
  void appendThrough(const std::string& relay, logstore::AppendRequest request,
                     logstore::StoreCallback<logstore::AppendReply> callback);

  /// Called once with the node's reply; with nothing if the node was unreachable.
  template <class Reply>
  using ReplyHandler = std::function<void(std::optional<logstore::StoreResult<Reply>>)>;
  /// Reads through the given node.
  void callThrough(const std::string& relay, logstore::ReadRequest request,
                   const ReplyHandler<logstore::ReadReply>& handler);
  /// Lists one page through the given node.
  void callThrough(const std::string& relay, logstore::NewestRequest request,
                   const ReplyHandler<logstore::NewestReply>& handler);

  void append(logstore::AppendRequest request,
              logstore::StoreCallback<logstore::AppendReply> callback) override;
  void read(logstore::ReadRequest request,
            logstore::StoreCallback<logstore::ReadReply> callback) override;
  void listLatest(logstore::NewestRequest request,
                  logstore::StoreCallback<logstore::NewestReply> callback) override;

 private:
  using FailureHandler = std::function<void(const http::Failure&)>;
  template <class Reply, class Decode>
  void send(const std::string& relay, const logstore::StoreCallRequest& call, Duration timeLimit,
            logstore::StoreCallback<Reply> callback, Decode decode, FailureHandler onFailure);
  template <class Reply, class Decode>
  void send(const std::string& relay, const logstore::StoreCallRequest& call, Duration timeLimit,
            logstore::StoreCallback<Reply> callback, Decode decode);
  /// \return the relay for the next call; empty if there is none.
  std::string chooseRelay(const logstore::PartitionAddress& partition);
  /// \return a callback that also records whether the relay reached the store.
  template <class Reply>
  logstore::StoreCallback<Reply> recordingOutcome(const std::string& relay,
                                                  logstore::StoreCallback<Reply> callback);

  http::HttpClient& client_;
  Relays relays_;
  RandomSource random_;
  std::string lastGoodRelay_;  ///< Empty after a failure.
};

}  // namespace gorsetrail::edge
