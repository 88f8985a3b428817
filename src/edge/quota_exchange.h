/// \file Quota messages between edge nodes, by datagrams.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/result.h"
#include "edge/datagram_socket.h"
#include "ledger/home_selector.h"
#include "quota/quota_service.h"
#include "services/timer_service.h"

namespace gorsetrail::edge {

/// What `QuotaExchange` asks of the daemon.
struct QuotaSources {
  /// Nodes that may coordinate, with the addresses of their ledger calls.
  std::function<const std::vector<ledger::HomeCandidate>&()> candidates;
  /// Nodes of the member list, silent ones included, with the addresses of their ledger calls.
  std::function<std::vector<std::string>()> members;
  /// How many nodes the member list has; 0 before it was read.
  std::function<std::size_t()> memberCount;
  std::function<std::shared_ptr<const tenant::TenantDirectory>()> tenants;
  /// Told when another node than before decides for a partition.
  std::function<void(std::uint32_t partition, const std::string& address)> onCoordinatorChanged;
};

/// Carries the messages of `quota::QuotaService`, one datagram each, and gives it its ticks.
/// Coordinators are chosen like the ledger's, by rendezvous hashing over the serving nodes.
class QuotaExchange final : public quota::QuotaFleet, public quota::QuotaAdmission {
 public:
  /// \param timers outlives this object. \param life differs between processes.
  QuotaExchange(boost::asio::io_context& context, services::TimerService& timers,
                std::function<Instant()> clock, QuotaSources sources, std::uint64_t life);

  /// Listens and begins to lend this node's share. Errors: `InvalidSettings`.
  /// \param port alike on all nodes.
  Result<Success> listen(const std::string& ip, std::uint16_t port);

  void admit(const tenant::Tenant& tenant, quota::ProgramStage stage, Callback callback) override;
  void giveBack(const std::string& tenant) override;
  /// Before a planned stop: other nodes take over what this one coordinates.
  void endCoordination();
  [[nodiscard]] quota::QuotaCounters counters() const;

  [[nodiscard]] std::vector<std::string> coordinatorsOf(std::uint32_t partition) const override;
  [[nodiscard]] std::vector<std::string> members() const override;
  [[nodiscard]] double ownShare() const override;
  [[nodiscard]] std::shared_ptr<const tenant::TenantDirectory> tenants() const override;
  void send(const std::string& to, const quota::QuotaMessage& message) override;
  void onCoordinatorChanged(std::uint32_t partition, const std::string& address) override;

 private:
  struct Coordinators {
    std::vector<std::string> addresses;
    Instant chosenAt;
  };
  void tickLoop();
  void waitingLoop();
  [[nodiscard]] std::string quotaAddressOf(const std::string& relayAddress) const;

  services::TimerService& timers_;
  std::function<Instant()> clock_;
  QuotaSources sources_;
  std::uint64_t life_;
  DatagramSocket socket_;
  std::string portSuffix_;
  ledger::HomeSelector selector_{{}};
  mutable std::map<std::uint32_t, Coordinators> coordinators_;  ///< As of `chosenAt`.
  std::unique_ptr<quota::QuotaService> service_;                ///< Null before `listen`.
  bool looksAfterWaiting_ = false;
};

}  // namespace gorsetrail::edge
