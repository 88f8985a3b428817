/// \file A whole edge node over loopback, wired as the program wires it.
#pragma once

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "edge/edge_daemon.h"
#include "platform/documents.h"
#include "platform/http_headers.h"
#include "platform/http_log_store.h"

namespace gorsetrail::lab::testing {

/// Ports of every node of a test. Addresses tell nodes apart, so none has to be asked for: asking
/// the system for three free ports gives the same one twice in 16 of 50,000 nodes.
inline constexpr std::uint16_t kClientPort = 21700;
inline constexpr std::uint16_t kDirectoryPort = 21701;
inline constexpr std::uint16_t kMetricsPort = 21702;
/// The first of those on which nodes call each other; for settings that name it.
inline constexpr std::uint16_t kFirstInternalPort = 21730;

/// \return a loopback address that only this process uses: another run of the tests at the same
/// time, and outgoing connections, which come from 127.0.0.1, hold no port of it.
inline std::string nodeIp(unsigned number) {
  constexpr unsigned kByte = 256;
  const auto process = static_cast<unsigned>(::getpid());
  // The second byte is 1 or more: 127.0.x.x is left to others.
  const unsigned second = 1 + (process / kByte) % (kByte - 1);
  return "127." + std::to_string(second) + "." + std::to_string(process % kByte) + "." +
         std::to_string(number);
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
    settings_.listen.clients = ip + ":" + std::to_string(kClientPort);
    settings_.listen.directory = ip + ":" + std::to_string(kDirectoryPort);
    settings_.listen.metrics = ip + ":" + std::to_string(kMetricsPort);
    settings_.store.address = storeAddress;
    if (adjust) {
      adjust(settings_);
    }
    daemon_ = std::make_unique<edge::EdgeDaemon>(
        context, settings_,
        edge::EdgeDependencies{heads_, documents_, store_, *replicaClient_, *peerClient_,
                               [this](std::string_view bytes) {
                                 lines += bytes;
                                 return bytes.size();
                               }},
        1);
    const Result<Success> result = daemon_->start();
    started = succeeded(result);
    startError = started ? std::string() : errorOf(result).toText();
  }
  ~Node() { daemon_.reset(); }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  [[nodiscard]] const edge::ListenAddresses& listen() const { return settings_.listen; }
  /// Has the running node read changed settings.
  void reload(const Adjust& adjust) {
    adjust(settings_);
    daemon_->reload(settings_);
  }
  void beginStop(std::function<void()> onStopped) { daemon_->beginStop(std::move(onStopped)); }

  std::string lines;
  bool started = false;
  std::string startError;  ///< Why the node did not start; empty when it did.

 private:
  http::HttpClientPtr storeClient_;
  http::HttpClientPtr replicaClient_;
  http::HttpClientPtr peerClient_;
  platform::HttpLogStore store_;
  tenant::ApiKeyHasher hasher_{tenant::ApiKeyHasher::Secret{1}};
  platform::HttpHeaderAdapter heads_{hasher_};
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

/// Runs the loop until the condition holds. \return whether it did within the limit.
inline bool runUntil(boost::asio::io_context& context, const std::function<bool()>& isTrue,
                     std::chrono::milliseconds limit = std::chrono::seconds(10)) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < deadline) {
    if (isTrue()) {
      return true;
    }
    context.restart();
    context.run_for(std::chrono::milliseconds(20));
  }
  return false;
}

/// Sends a request and runs the loop until its end. \return nothing when none came in 10 s.
inline std::optional<Answer> answerTo(boost::asio::io_context& context, http::HttpClient& client,
                                      http::Request request) {
  const auto answer = std::make_shared<std::optional<Answer>>();
  http::ResponseHandler handler;
  handler.onDone = [answer](const http::Response& response) {
    *answer = Answer{response.status, response.body, ""};
    for (const http::Header& header : response.headers) {
      (*answer)->retryAfter = header.name == "Retry-After" ? header.value : (*answer)->retryAfter;
    }
  };
  handler.onFailure = [answer](const http::Failure&) { *answer = Answer{}; };
  client.send(std::move(request), std::move(handler));
  runUntil(context, [answer] { return answer->has_value(); });
  return *answer;
}

}  // namespace gorsetrail::lab::testing
