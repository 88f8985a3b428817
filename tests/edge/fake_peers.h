/// \file A fake HTTP client that answers as other nodes, without a network.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "http/http_client.h"
#include "logstore/store_message.h"

namespace gorsetrail::edge {

class NoHandle final : public http::RequestHandle {
 public:
  void cancel() override {}
};

/// Answers store calls immediately. By default every node appends successfully; the sets select
/// other behavior by address.
class FakePeers final : public http::HttpClient {
 public:
  http::RequestHandlePtr send(http::Request request, http::ResponseHandler handler) override {
    ++calls[request.address];
    if (unreachable.contains(request.address)) {
      handler.onFailure({http::FailureStage::NotSent, "no route"});
      return std::make_shared<NoHandle>();
    }
    logstore::StoreCallReply reply = logstore::AppendReply{7, 8};
    if (readsHere.contains(request.address)) {
      reply = logstore::ReadReply{1, 0, {"record"}, std::nullopt};
    }
    if (listsHere.contains(request.address)) {
      reply = logstore::NewestReply{{{"key", "value", 0}}, false, 1};
    }
    if (cutOff.contains(request.address)) {
      reply = logstore::StoreError{logstore::StoreFault::NoAnswer, "time limit reached", 0};
    }
    if (unlisted.contains(request.address)) {
      reply = logstore::StoreError{logstore::StoreFault::Busy, "not listed yet", 0};
    }
    handler.onDone({200, {}, logstore::encodeStoreReply(reply)});
    return std::make_shared<NoHandle>();
  }
  void checkReachable(const std::string& /*address*/, Duration /*limit*/,
                      std::function<void(bool)> callback) override {
    callback(true);
  }

  std::map<std::string, int> calls;
  std::set<std::string> readsHere;    ///< Nodes that answer reads.
  std::set<std::string> listsHere;    ///< Nodes that answer listings.
  std::set<std::string> cutOff;       ///< Nodes that report that the store does not answer.
  std::set<std::string> unlisted;     ///< Nodes that have not listed the topic.
  std::set<std::string> unreachable;  ///< Nodes that refuse connections.
};

}  // namespace gorsetrail::edge
