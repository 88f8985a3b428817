/// \file Quota messages between edge nodes, by UDP.
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
#include "ledger/rendezvous_selector.h"
#include "quota/quota_service.h"
#include "services/timer_service.h"

namespace gorsetrail::edge {

/// Callbacks of `QuotaExchange` into the daemon.
struct QuotaSources {
  /// Nodes eligible as coordinators, with their relay addresses.
  std::function<const std::vector<ledger::NodeCandidate>&()> candidates;
  /// Relay addresses of all listed members, including dead ones.
  std::function<std::vector<std::string>()> members;
  /// Number of listed members; 0 before the first listing.
  std::function<std::size_t()> memberCount;
  std::function<std::shared_ptr<const tenant::TenantDirectory>()> tenants;
  /// Called when a partition's coordinator has changed.
  std::function<void(std::uint32_t partition, const std::string& address)> onCoordinatorChanged;
};

/// Transports the messages of `quota::QuotaService`, one per datagram, and drives its timers.
/// Coordinators are chosen by rendezvous hashing over the serving nodes, like the hosts of ledger
/// partitions.
class QuotaExchange final : public quota::QuotaFleetView, public quota::QuotaAdmission {
 public:
  /// \param timers outlives this object.
  /// \param incarnation unique for each process.
  QuotaExchange(boost::asio::io_context& context, services::TimerService& timers,
                std::function<Instant()> clock, QuotaSources sources, std::uint64_t incarnation);

  /// Starts exchanging quota messages. Errors: `InvalidSettings`.
  /// \param port the same on all nodes.
  Result<Success> listen(const std::string& ip, std::uint16_t port);

  void admit(const tenant::Tenant& tenant, quota::ProgramStage stage, Callback callback) override;
  void returnToken(const std::string& tenant) override;
  /// Called at a planned stop, so that other nodes take over the partitions that this node
  /// coordinates.
  void endCoordination();
  [[nodiscard]] quota::QuotaCounters counters() const;

  [[nodiscard]] std::vector<std::string> candidateCoordinators(
      std::uint32_t partition) const override;
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
  /// Runs the service's timers periodically.
  void tickLoop();
  /// Runs the service's timers at a shorter period while requests wait for tokens.
  void waitingLoop();
  [[nodiscard]] std::string quotaAddressOf(const std::string& relayAddress) const;

  services::TimerService& timers_;
  std::function<Instant()> clock_;
  QuotaSources sources_;
  std::uint64_t incarnation_;
  DatagramSocket socket_;
  std::string portSuffix_;
  ledger::RendezvousSelector selector_{{}};
  /// Cached for each partition at `chosenAt`.
  mutable std::map<std::uint32_t, Coordinators> coordinators_;
  std::unique_ptr<quota::QuotaService> service_;  ///< Null before `listen`.
  bool isWaitingLoopRunning_ = false;
};

}  // namespace gorsetrail::edge
