/// \file Both ends of ledger calls between nodes, over HTTP on the internal port.
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

/// Path of ledger calls; other paths of the internal port serve other calls.
inline constexpr char kLedgerPath[] = "/ledger-call";

/// Path that only shows that the process runs.
inline constexpr char kAlivePath[] = "/alive";

/// Answers other nodes' calls.
class LedgerRelayServer {
 public:
  /// \param service outlives this object.
  explicit LedgerRelayServer(ledger::LedgerService& service) : service_(service) {}
  void onRequest(const http::ServerRequest& request, http::ResponseWriterPtr writer);

 private:
  ledger::LedgerService& service_;
};

/// Makes calls to other nodes.
class HttpLedgerPeers final : public ledger::LedgerPeers {
 public:
  using CandidatesFunction = std::function<std::optional<std::vector<ledger::HomeCandidate>>()>;

  /// \param client outlives this object.
  /// \param candidates nothing before the first list of nodes.
  HttpLedgerPeers(http::HttpClient& client, CandidatesFunction candidates)
      : client_(client), candidates_(std::move(candidates)) {}

  [[nodiscard]] bool areKnown() const override { return candidates_().has_value(); }

  [[nodiscard]] std::vector<ledger::HomeCandidate> candidates() const override {
    return candidates_().value_or(std::vector<ledger::HomeCandidate>());
  }
  void checkAlive(const std::string& address, Duration limit,
                  std::function<void(bool alive)> callback) override;
  void call(const std::string& address, const ledger::LedgerRequest& request, Duration timeLimit,
            std::function<void(std::optional<ledger::LedgerReply>)> callback) override;

 private:
  http::HttpClient& client_;
  CandidatesFunction candidates_;
};

}  // namespace gorsetrail::edge
