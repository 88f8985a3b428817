#include "edge/ledger_relay.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace gorsetrail::edge {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
/// A node that does not accept a connection within this time is skipped.
constexpr Duration kConnectTimeLimit = milliseconds(250);

}  // namespace

void LedgerRelayServer::onRequest(const http::ServerRequest& request,
                                  http::ResponseWriterPtr writer) {
  if (request.target == kAlivePath) {
    writer->sendWhole({kOk, {}, {}});
    return;
  }
  Result<ledger::LedgerRequest> decoded = ledger::decodeLedgerRequest(request.body);
  if (!succeeded(decoded)) {
    writer->sendWhole({kBadRequest, {}, errorOf(decoded).toText()});
    return;
  }
  const std::shared_ptr<http::ResponseWriter> shared = std::move(writer);
  service_.handleForPeer(std::move(valueOf(decoded)), [shared](const ledger::LedgerReply& reply) {
    shared->sendWhole({kOk, {}, ledger::encodeLedgerReply(reply)});
  });
}

void HttpLedgerPeers::checkAlive(const std::string& address, Duration limit,
                                 std::function<void(bool alive)> callback) {
  http::Request request;
  request.target = kAlivePath;
  request.address = address;
  request.timeLimit = limit;
  http::ResponseHandler handler;
  handler.onDone = [callback](const http::Response&) { callback(true); };
  handler.onFailure = [callback](const http::Failure&) { callback(false); };
  client_.send(std::move(request), std::move(handler));
}

void HttpLedgerPeers::call(const std::string& address, const ledger::LedgerRequest& request,
                           Duration timeLimit,
                           std::function<void(std::optional<ledger::LedgerReply>)> callback) {
  http::Request call;
  call.method = "POST";
  call.target = kLedgerPath;
  call.address = address;
  call.body = ledger::encodeLedgerRequest(request);
  call.timeLimit = timeLimit;
  call.connectTimeLimit = std::min(timeLimit, kConnectTimeLimit);
  http::ResponseHandler handler;
  handler.onDone = [callback](const http::Response& response) {
    auto reply = ledger::decodeLedgerReply(response.body);
    callback(succeeded(reply) ? std::optional(std::move(valueOf(reply))) : std::nullopt);
  };
  handler.onFailure = [callback](const http::Failure&) { callback(std::nullopt); };
  client_.send(std::move(call), std::move(handler));
}

}  // namespace gorsetrail::edge
