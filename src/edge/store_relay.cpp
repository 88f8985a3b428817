#include "edge/store_relay.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "logstore/failover_store.h"

namespace gorsetrail::edge {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr char kRelayPath[] = "/store-call";

/// Shared because callbacks must be copyable; replies once.
using SharedWriter = std::shared_ptr<http::ResponseWriter>;

template <class Reply>
logstore::StoreCallback<Reply> replyTo(SharedWriter writer) {
  return [writer = std::move(writer)](logstore::StoreResult<Reply> result) {
    logstore::StoreCallReply reply;
    if (auto* const error = std::get_if<logstore::StoreError>(&result)) {
      reply = std::move(*error);
    } else {
      reply = std::move(std::get<Reply>(result));
    }
    writer->sendWhole({kOk, {}, logstore::encodeStoreReply(reply)});
  };
}

}  // namespace

void StoreRelayServer::onRequest(const http::ServerRequest& request,
                                 http::ResponseWriterPtr writer) {
  Result<logstore::StoreCallRequest> decoded = logstore::decodeStoreCall(request.body);
  if (!succeeded(decoded)) {
    writer->sendWhole({kBadRequest, {}, errorOf(decoded).toText()});
    return;
  }
  const SharedWriter shared = std::move(writer);
  logstore::StoreCallRequest& call = valueOf(decoded);
  if (auto* const append = std::get_if<logstore::AppendRequest>(&call);
      append != nullptr && appendHandler_ && append->partition == interceptedPartition_) {
    appendHandler_(std::move(*append), replyTo<logstore::AppendReply>(shared));
  } else if (append != nullptr) {
    direct_.append(std::move(*append), replyTo<logstore::AppendReply>(shared));
  } else if (auto* const read = std::get_if<logstore::ReadRequest>(&call)) {
    onRead(std::move(*read), replyTo<logstore::ReadReply>(shared));
  } else {
    onListing(std::move(std::get<logstore::NewestRequest>(call)),
              replyTo<logstore::NewestReply>(shared));
  }
}

void StoreRelayServer::onListing(logstore::NewestRequest request,
                                 logstore::StoreCallback<logstore::NewestReply> reply) {
  if (!listingHandler_ || !listingHandler_(request, reply)) {
    direct_.listLatest(std::move(request), std::move(reply));
  }
}

void StoreRelayServer::onRead(logstore::ReadRequest request,
                              logstore::StoreCallback<logstore::ReadReply> reply) {
  if (!readHandler_ || !readHandler_(request, reply)) {
    direct_.read(std::move(request), std::move(reply));
  }
}

RelayedStore::RelayedStore(http::HttpClient& client, Relays relays, std::uint64_t seed)
    : client_(client), relays_(std::move(relays)), random_(seed) {}

template <class Reply, class Decode>
void RelayedStore::send(const std::string& relay, const logstore::StoreCallRequest& call,
                        Duration timeLimit, logstore::StoreCallback<Reply> callback,
                        Decode decode) {
  send(relay, call, timeLimit, callback, decode, [callback](const http::Failure& failure) {
    callback(logstore::StoreError{logstore::StoreFault::NoAnswer, "relay: " + failure.reason, 0});
  });
}

template <class Reply, class Decode>
void RelayedStore::send(const std::string& relay, const logstore::StoreCallRequest& call,
                        Duration timeLimit, logstore::StoreCallback<Reply> callback, Decode decode,
                        FailureHandler onFailure) {
  http::Request request;
  request.method = "POST";
  request.target = kRelayPath;
  // If there is no relay, the address is empty and the client reports that nothing was sent.
  request.address = relay;
  request.body = logstore::encodeStoreCall(call);
  request.timeLimit = timeLimit;
  http::ResponseHandler handler;
  handler.onDone = [callback, decode](const http::Response& response) {
    callback(decode(response.body));
  };
  handler.onFailure = std::move(onFailure);
  client_.send(std::move(request), std::move(handler));
}

std::string RelayedStore::chooseRelay(const logstore::PartitionAddress& partition) {
  const std::vector<std::string> relays = relays_(partition);
  const bool isListed = std::find(relays.begin(), relays.end(), lastGoodRelay_) != relays.end();
  if (isListed) {
    return lastGoodRelay_;
  }
  return relays.empty() ? std::string() : relays[random_.below(relays.size())];
}

template <class Reply>
logstore::StoreCallback<Reply> RelayedStore::recordingOutcome(
    const std::string& relay, logstore::StoreCallback<Reply> callback) {
  return [this, relay, callback = std::move(callback)](logstore::StoreResult<Reply> result) {
    const auto* const error = std::get_if<logstore::StoreError>(&result);
    const bool reachedStore = error == nullptr || logstore::isReplyFromStore(error->fault);
    if (reachedStore) {
      lastGoodRelay_ = relay;
    } else if (lastGoodRelay_ == relay) {
      lastGoodRelay_.clear();
    }
    callback(std::move(result));
  };
}

void RelayedStore::appendThrough(const std::string& relay, logstore::AppendRequest request,
                                 logstore::StoreCallback<logstore::AppendReply> callback) {
  const Duration limit = request.timeLimit;
  send<logstore::AppendReply>(relay, std::move(request), limit, std::move(callback),
                              logstore::decodeAppendReply);
}

void RelayedStore::callThrough(const std::string& relay, logstore::ReadRequest request,
                               const ReplyHandler<logstore::ReadReply>& handler) {
  const Duration limit = request.timeLimit;
  send<logstore::ReadReply>(
      relay, std::move(request), limit,
      [handler](logstore::StoreResult<logstore::ReadReply> result) { handler(std::move(result)); },
      logstore::decodeReadReply, [handler](const http::Failure&) { handler(std::nullopt); });
}

void RelayedStore::callThrough(const std::string& relay, logstore::NewestRequest request,
                               const ReplyHandler<logstore::NewestReply>& handler) {
  const Duration limit = request.timeLimit;
  send<logstore::NewestReply>(
      relay, std::move(request), limit,
      [handler](logstore::StoreResult<logstore::NewestReply> result) {
        handler(std::move(result));
      },
      logstore::decodeNewestReply, [handler](const http::Failure&) { handler(std::nullopt); });
}

void RelayedStore::append(logstore::AppendRequest request,
                          logstore::StoreCallback<logstore::AppendReply> callback) {
  const Duration limit = request.timeLimit;
  const std::string relay = chooseRelay(request.partition);
  send<logstore::AppendReply>(relay, std::move(request), limit,
                              recordingOutcome<logstore::AppendReply>(relay, std::move(callback)),
                              logstore::decodeAppendReply);
}

void RelayedStore::read(logstore::ReadRequest request,
                        logstore::StoreCallback<logstore::ReadReply> callback) {
  const Duration limit = request.timeLimit;
  const std::string relay = chooseRelay(request.partition);
  send<logstore::ReadReply>(relay, std::move(request), limit,
                            recordingOutcome<logstore::ReadReply>(relay, std::move(callback)),
                            logstore::decodeReadReply);
}

void RelayedStore::listLatest(logstore::NewestRequest request,
                              logstore::StoreCallback<logstore::NewestReply> callback) {
  const Duration limit = request.timeLimit;
  const std::string relay = chooseRelay(request.partition);
  send<logstore::NewestReply>(relay, std::move(request), limit,
                              recordingOutcome<logstore::NewestReply>(relay, std::move(callback)),
                              logstore::decodeNewestReply);
}

}  // namespace gorsetrail::edge
