/// \file Client and server of ledger calls between nodes, over HTTP on the internal port.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "http/http_client.h"
#include "http/http_server.h"
#include "ledger/ledger_service.h"
#include "ledger/routed_ledger.h"

namespace gorsetrail::edge {

/// HTTP path of ledger calls on the internal port.
inline constexpr char kLedgerPath[] = "/ledger-call";

/// HTTP path of the liveness check on the internal port.
inline constexpr char kAlivePath[] = "/alive";

/// Serves ledger calls and liveness checks of other nodes.
class LedgerRelayServer {
 public:
  /// \param service outlives this object.
  explicit LedgerRelayServer(ledger::LedgerService& service) : service_(service) {}
  /// Handles a ledger call or a liveness check.
  void onRequest(const http::ServerRequest& request, http::ResponseWriterPtr writer);

 private:
  ledger::LedgerService& service_;
};

/// Sends ledger calls to other nodes.
class HttpLedgerPeers final : public ledger::LedgerPeers {
 public:
  /// Returns the nodes that may host ledger partitions.
  using CandidatesFunction = std::function<std::vector<ledger::NodeCandidate>()>;
  /// Returns whether the members have been listed at least once.
  using IsNodeListKnownFunction = std::function<bool()>;

  /// \param client outlives this object.
  HttpLedgerPeers(http::HttpClient& client, IsNodeListKnownFunction isNodeListKnown,
                  CandidatesFunction candidates)
      : client_(client),
        isNodeListKnown_(std::move(isNodeListKnown)),
        candidates_(std::move(candidates)) {}

  [[nodiscard]] bool isNodeListKnown() const override { return isNodeListKnown_(); }
  [[nodiscard]] std::vector<ledger::NodeCandidate> candidates() const override {
    return candidates_();
  }
  void checkAlive(const std::string& address, Duration limit,
                  std::function<void(bool alive)> callback) override;
  void call(const std::string& address, const ledger::LedgerRequest& request, Duration timeLimit,
            std::function<void(std::optional<ledger::LedgerReply>)> callback) override;

 private:
  http::HttpClient& client_;
  IsNodeListKnownFunction isNodeListKnown_;
  CandidatesFunction candidates_;
};

}  // namespace gorsetrail::edge
