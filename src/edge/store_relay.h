/// \file Both ends of a store call that one node makes for another.
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

/// Answers other nodes' calls with single calls to the store of its own.
class StoreRelayServer {
 public:
  /// \param direct the direct way to the store, never a relay: calls do not go round.
  explicit StoreRelayServer(logstore::LogStore& direct) : direct_(direct) {}
  /// Appends to this partition are handed over instead of made.
  using AppendHandler =
      std::function<void(logstore::AppendRequest, logstore::StoreCallback<logstore::AppendReply>)>;
  void aggregateAppends(logstore::PartitionAddress partition, AppendHandler handler) {
    aggregatedPartition_ = std::move(partition);
    aggregate_ = std::move(handler);
  }
  /// Reads are offered to this first; it returns whether it takes one.
  using ReadHandler = std::function<bool(const logstore::ReadRequest&,
                                         const logstore::StoreCallback<logstore::ReadReply>&)>;
  void shareReads(ReadHandler handler) { share_ = std::move(handler); }
  /// So are pages of listings.
  using ListingHandler = std::function<bool(const logstore::NewestRequest&,
                                            const logstore::StoreCallback<logstore::NewestReply>&)>;
  void shareListings(ListingHandler handler) { shareListing_ = std::move(handler); }
  void onRequest(const http::ServerRequest& request, http::ResponseWriterPtr writer);

 private:
  void onRead(logstore::ReadRequest request, logstore::StoreCallback<logstore::ReadReply> reply);
  void onListing(logstore::NewestRequest request,
                 logstore::StoreCallback<logstore::NewestReply> reply);

  logstore::LogStore& direct_;
  ReadHandler share_;
  ListingHandler shareListing_;
  logstore::PartitionAddress aggregatedPartition_;
  AppendHandler aggregate_;
};

/// Makes calls through another node: the one that the last call went through well, else one chosen
/// at random. A share of the nodes may be cut off from the store like this one; choosing anew for
/// each call would lose that share of the calls.
class RelayedStore final : public logstore::LogStore {
 public:
  /// \return the addresses of other nodes' relays that calls for the partition may go through.
  using Relays = std::function<std::vector<std::string>(const logstore::PartitionAddress&)>;

  RelayedStore(http::HttpClient& client, Relays relays, std::uint64_t seed);

  /// Makes one append through this node.
  void appendThrough(const std::string& relay, logstore::AppendRequest request,
                     logstore::StoreCallback<logstore::AppendReply> callback);

  /// Called once with what the node replied; nothing when the node itself was not reached.
  template <class Reply>
  using ReplyHandler = std::function<void(std::optional<logstore::StoreResult<Reply>>)>;
  /// Makes one read through this node.
  void callThrough(const std::string& relay, logstore::ReadRequest request,
                   const ReplyHandler<logstore::ReadReply>& handler);
  /// Gets one page of a listing through this node.
  void callThrough(const std::string& relay, logstore::NewestRequest request,
                   const ReplyHandler<logstore::NewestReply>& handler);

  void append(logstore::AppendRequest request,
              logstore::StoreCallback<logstore::AppendReply> callback) override;
  void read(logstore::ReadRequest request,
            logstore::StoreCallback<logstore::ReadReply> callback) override;
  void newest(logstore::NewestRequest request,
              logstore::StoreCallback<logstore::NewestReply> callback) override;

 private:
  using FailureHandler = std::function<void(const http::Failure&)>;
  template <class Reply, class Decode>
  void send(const std::string& relay, const logstore::StoreCallRequest& call, Duration timeLimit,
            logstore::StoreCallback<Reply> callback, Decode decode, FailureHandler onFailure);
  template <class Reply, class Decode>
  void send(const std::string& relay, const logstore::StoreCallRequest& call, Duration timeLimit,
            logstore::StoreCallback<Reply> callback, Decode decode);
  /// \return the node for the next call; empty when there is none.
  std::string chooseRelay(const logstore::PartitionAddress& partition);
  /// \return a callback that also notes whether the relay reached the store.
  template <class Reply>
  logstore::StoreCallback<Reply> noting(const std::string& relay,
                                        logstore::StoreCallback<Reply> callback);

  http::HttpClient& client_;
  Relays relays_;
  RandomSource random_;
  std::string provenRelay_;  ///< Empty after a failure.
};

}  // namespace gorsetrail::edge
