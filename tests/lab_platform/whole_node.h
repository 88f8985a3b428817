/// \file A whole edge node over loopback, wired as the program wires it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "edge/edge_daemon.h"
#include "platform/documents.h"
#include "platform/heads.h"
#include "platform/store_calls.h"

namespace gorsetrail::lab::testing {

/// \return an address of the ip with a port that was free a moment ago.
inline std::string freeAddress(boost::asio::io_context& context, const std::string& ip) {
  boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::make_address(ip), 0});
  return ip + ":" + std::to_string(acceptor.local_endpoint().port());
}

/// One edge node as `gorsetrail-edge` wires it.
class Node {
 public:
  /// Changes settings before the start.
  using Adjust = std::function<void(edge::EdgeSettings&)>;

  Node(boost::asio::io_context& context, const std::string& ip, const std::string& storeAddress,
       const Adjust& adjust = {})
      : storeClient_(http::makeHttpClient(context)),
        replicaClient_(http::makeHttpClient(context)),
        peerClient_(http::makeHttpClient(context)),
        store_(*storeClient_, storeAddress) {
    settings_.nodeName = "node-" + ip;
    settings_.ip = ip;
    settings_.zone = "z";
    settings_.listen.clients = freeAddress(context, ip);
    settings_.listen.directory = freeAddress(context, ip);
    settings_.listen.metrics = freeAddress(context, ip);
    settings_.store.address = storeAddress;
    if (adjust) {
      adjust(settings_);
    }
    daemon_ = std::make_unique<edge::EdgeDaemon>(
        context, settings_,
        edge::EdgeParts{heads_, documents_, store_, *replicaClient_, *peerClient_,
                        [this](std::string_view bytes) {
                          lines += bytes;
                          return bytes.size();
                        }},
        1);
    started = succeeded(daemon_->start());
  }
  ~Node() { daemon_.reset(); }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  [[nodiscard]] const edge::ListenAddresses& listen() const { return settings_.listen; }
  void beginStop(std::function<void()> onStopped) { daemon_->beginStop(std::move(onStopped)); }

  std::string lines;
  bool started = false;

 private:
  http::HttpClientPtr storeClient_;
  http::HttpClientPtr replicaClient_;
  http::HttpClientPtr peerClient_;
  platform::StoreCalls store_;
  tenant::ApiKeyHasher hasher_{tenant::ApiKeyHasher::Secret{1}};
  platform::HeadAdapter heads_{hasher_};
  platform::JsonDocumentAdapter documents_{hasher_};
  edge::EdgeSettings settings_;
  std::unique_ptr<edge::EdgeDaemon> daemon_;
};

/// What a client got; status 0 means a closed connection.
struct Answer {
  unsigned status = 0;
  std::string body;
  std::string retryAfter;
};

}  // namespace gorsetrail::lab::testing
