/// \file Fleet-wide quotas of one node: requests tokens from coordinators. Does no I/O; reads time
/// through the given clock.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "quota/fleet_view.h"
#include "quota/quota_admission.h"
#include "quota/quota_coordinator.h"
#include "quota/quota_knobs.h"
#include "quota/quota_message.h"
#include "quota/share_lender.h"
#include "tenant/tenant.h"

namespace gorsetrail::quota {

/// Cumulative counts of quota decisions.
struct QuotaCounters {
  std::uint64_t grantedAtOnce = 0;  ///< From tokens that the node already held.
  std::uint64_t grantedAfterAsking = 0;
  std::uint64_t grantedFromOwnShare = 0;
  std::uint64_t overLimit = 0;
  std::uint64_t unknown = 0;
  std::uint64_t tokenRequests = 0;  ///< Sent, including repeated ones.
  std::uint64_t tokenReplies = 0;   ///< Sent by this node as a coordinator.
};

/// Quota service of one node. Each tenant belongs to a partition, whose coordinator leases the
/// shares of all nodes (`QuotaCoordinator`, `ShareLender`) and grants tokens.
///
/// All coordinators together grant no more than the limit, also in a partitioned network, because
/// the shares add up to the limit and each is leased to one coordinator at a time. A token expires
/// `QuotaKnobs::tokenLifetime` plus its accrual delay after it was requested, so a process that was
/// suspended cannot spend it late.
class QuotaService final : public QuotaAdmission {
 public:
  /// \param fleet must outlive this object.
  /// \param incarnation differs between processes.
  QuotaService(QuotaFleetView& fleet, const QuotaKnobs& knobs, std::string ownAddress,
               std::uint64_t incarnation, std::function<Instant()> clock);

  void admit(const tenant::Tenant& tenant, ProgramStage stage, Callback callback) override;
  void returnToken(const std::string& tenant) override;
  void onMessage(const std::string& from, const QuotaMessage& message);
  /// Handles timeouts and sends due messages. Call every few milliseconds while
  /// `hasWaitingRequests`, otherwise every `QuotaKnobs::leaseRenewalInterval`.
  void onTick();
  /// Stops coordinating before a planned shutdown; nodes may lease their shares to another
  /// coordinator.
  void endCoordination() { coordinator_.endCoordination(); }
  /// \return whether requests are waiting for tokens.
  [[nodiscard]] bool hasWaitingRequests() const { return waitingCount_ > 0; }
  [[nodiscard]] QuotaCounters counters() const {
    QuotaCounters counters = counters_;
    counters.tokenReplies = coordinator_.tokenReplies();
    return counters;
  }
  [[nodiscard]] std::uint32_t partitionOf(const std::string& tenant) const;

 private:
  struct Waiter {
    ProgramStage stage = ProgramStage::Starting;
    Instant waitingSince;
    Callback callback;
  };
  struct Tokens {
    std::uint32_t count = 0;
    bool mayStartPrograms = false;
    Instant expiresAt;
    std::uint64_t grantor = 0;
    Instant usableAt;  ///< When the tokens have accrued at the tenant's rate.
  };
  /// A token of a granted request, which may return it until it expires.
  struct SpentToken {
    Instant expiresAt;
    std::uint64_t grantor = 0;
  };
  struct PendingRequest {
    std::uint64_t requestId = 0;
    std::string coordinator;
    Instant sentAt;
    /// The first `waiters` entries of the queue are decided by the reply.
    std::size_t waiters = 0;
    std::uint32_t attempts = 1;  ///< Attempts at this coordinator.
    /// The reply was undecided; the next coordinator is asked after a delay.
    bool isPaused = false;
    /// Number of redirects to other coordinators.
    std::uint32_t redirects = 0;
    std::string redirectedBy;  ///< First coordinator that redirected the request.
  };
  /// A granted request whose token has not accrued yet.
  struct Scheduled {
    Instant at;
    Callback callback;
  };
  struct LastAnswer {
    std::string coordinator;
    Instant at;
    bool decided = false;
  };
  struct Account {
    tenant::Tenant tenant;  ///< As of the last request.
    Tokens tokens;
    std::deque<Waiter> waiters;
    std::optional<PendingRequest> pendingRequest;
    std::deque<Scheduled> scheduled;
    std::deque<SpentToken> spent;  ///< Unexpired tokens in the order in which they were spent.
    Instant lastUsedAt;
  };

  void requestTokens(Account& account);
  void sendTokenRequest(Account& account, const std::string& coordinator, std::uint32_t attempts);
  /// \param excluded not chosen unless it is the only one; may be empty.
  [[nodiscard]] std::string chooseCoordinator(std::uint32_t partition,
                                              const std::string& excluded) const;
  void send(const std::string& to, const QuotaMessage& message);
  void onLeaseRequest(const std::string& from, const LeaseRequest& request);
  void onLeaseRelease(const std::string& from, const LeaseRelease& release);
  void onTokenReply(const TokenReply& reply);
  /// After an undecided reply: asks the coordinator that it names, or waits before the next
  /// attempt.
  void redirectOrPause(Account& account, const std::string& coordinator);
  void storeTokens(Account& account, const PendingRequest& pending, const TokenReply& reply);
  void serveWaiters(Account& account, const PendingRequest& pending, const TokenReply& reply);
  /// Rejects requests that waited too long; then uses the local share or asks again after a
  /// timeout.
  void expireAndRetry(Account& account);
  void completeScheduled(Account& account);
  void rejectOldestWaiter(Account& account);
  /// \param waitingSince when the request began to wait.
  [[nodiscard]] QuotaTrace traceOf(const Account& account, const std::string& coordinator,
                                   Instant waitingSince) const;
  /// Takes an unexpired token, which may not have accrued yet.
  [[nodiscard]] static bool trySpend(Account& account, ProgramStage stage, Instant now);
  static void dropExpired(Account& account, Instant now);
  void completeOldestWaiter(Account& account, const QuotaDecision& decision);
  [[nodiscard]] Duration addJitter(Duration retryAfter);

  QuotaFleetView& fleet_;
  QuotaKnobs knobs_;
  std::string ownAddress_;
  std::function<Instant()> clock_;
  RandomSource random_;
  ShareLender lender_;
  QuotaCoordinator coordinator_;
  std::unordered_map<std::string, Account> accounts_;
  /// The coordinator that last decided, by partition. Asked first until it stops deciding, because
  /// after a network partition heals the regular candidates may hold no leases.
  std::map<std::uint32_t, std::string> preferredCoordinators_;
  /// By partition; kept when that coordinator stops deciding.
  std::map<std::uint32_t, std::string> lastDecidingCoordinators_;
  std::map<std::uint32_t, LastAnswer> lastAnswers_;  ///< Last reply by partition, decided or not.
  /// By `PendingRequest::requestId`.
  std::unordered_map<std::uint64_t, std::string> tenantByRequestId_;
  std::deque<std::pair<std::string, QuotaMessage>> selfMessages_;
  bool isDeliveringToSelf_ = false;
  /// Starts at a random value so that replies to an earlier incarnation do not match.
  std::uint64_t nextRequestId_;
  std::size_t waitingCount_ = 0;
  QuotaCounters counters_;
};

}  // namespace gorsetrail::quota
