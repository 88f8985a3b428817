/// \file Quotas over the whole fleet: tokens from coordinators. No I/O; time is handed in.
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

/// What became of quota decisions; all only rise.
struct QuotaCounters {
  std::uint64_t grantedAtOnce = 0;  ///< From tokens at hand.
  std::uint64_t grantedAfterAsking = 0;
  std::uint64_t grantedFromOwnShare = 0;
  std::uint64_t overLimit = 0;
  std::uint64_t unknown = 0;
  std::uint64_t tokenRequests = 0;  ///< Sent, repeated ones included.
  std::uint64_t tokenReplies = 0;   ///< Given as a coordinator.
};

/// One node's part in quotas. A tenant belongs to a partition, and each partition has a coordinator
/// that borrows all nodes' shares (`QuotaCoordinator`, `ShareLender`) and grants tokens. Why a
/// limit holds: shares add up to the limit and are lent to one coordinator at a time, so all
/// coordinators together, also in a split fleet, grant no more than the limit; and a token is void
/// `QuotaKnobs::tokenLifetime` after it was asked for, whatever froze in between.
class QuotaService final : public QuotaAdmission {
 public:
  /// \param fleet outlives this object. \param life differs between processes.
  QuotaService(QuotaFleet& fleet, const QuotaKnobs& knobs, std::string ownAddress,
               std::uint64_t life, std::function<Instant()> clock);

  void admit(const tenant::Tenant& tenant, ProgramStage stage, Callback callback) override;
  void giveBack(const std::string& tenant) override;
  void onMessage(const std::string& from, const QuotaMessage& message);
  /// Sends what is due; call it every few milliseconds while `hasWaiting`, else every `lendPeriod`.
  void onTick();
  /// Before a planned stop: this node grants nothing any more, and nodes may lend to another.
  void endCoordination() { coordinator_.end(); }
  /// \return whether requests wait for tokens.
  [[nodiscard]] bool hasWaiting() const { return waiting_ > 0; }
  [[nodiscard]] QuotaCounters counters() const {
    QuotaCounters counters = counters_;
    counters.tokenReplies = coordinator_.tokenReplies();
    return counters;
  }
  /// \return the partition of a tenant.
  [[nodiscard]] std::uint32_t partitionOf(const std::string& tenant) const;

 private:
  struct Waiter {
    ProgramStage stage = ProgramStage::Beginning;
    Instant since;
    Callback callback;
  };
  struct Tokens {
    std::uint32_t count = 0;
    bool isAmple = false;
    Instant until;
    std::uint64_t grantor = 0;
    Instant usableAt;  ///< Until then the tenant's rate has not made up for them.
  };
  /// A token that a request was granted; the request may give it back.
  struct SpentToken {
    Instant until;
    std::uint64_t grantor = 0;
  };
  struct Asking {
    std::uint64_t number = 0;
    std::string coordinator;
    Instant sentAt;
    std::size_t waiters = 0;  ///< Those in front of the queue are decided by the reply.
    std::uint32_t tries = 1;  ///< At this coordinator.
    bool isPaused = false;    ///< Undecided: the next coordinator is asked after a pause.
    /// Coordinators asked because another one named them.
    std::uint32_t redirects = 0;
    std::string redirectedBy;  ///< The first choice that named another one.
  };
  /// A granted request whose token is not made yet.
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
    std::optional<Asking> asking;
    std::deque<Scheduled> scheduled;
    std::deque<SpentToken> spent;  ///< Not void yet; the oldest first.
    Instant usedAt;
  };

  void askCoordinator(Account& account);
  void ask(Account& account, const std::string& coordinator, std::uint32_t tries);
  /// \param failed not chosen while there is another one; empty: none.
  [[nodiscard]] std::string coordinatorFor(std::uint32_t partition,
                                           const std::string& failed) const;
  void send(const std::string& to, const QuotaMessage& message);
  void onLendRequest(const std::string& from, const LendRequest& request);
  void onLendEnd(const std::string& from, const LendEnd& end);
  void onTokenReply(const TokenReply& reply);
  /// After an undecided reply: asks the coordinator that it named, or pauses.
  void followOrPause(Account& account, const std::string& coordinator);
  void takeTokens(Account& account, const Asking& asked, const TokenReply& reply);
  void serveWaiters(Account& account, const Asking& asked, const TokenReply& reply);
  void checkAccount(Account& account);
  void releaseDue(Account& account);
  void giveUpOldest(Account& account);
  /// \param since when the request began to wait.
  [[nodiscard]] QuotaTrace traceOf(const Account& account, const std::string& coordinator,
                                   Instant since) const;
  /// Takes a token that is at hand, though it may have to wait for its time.
  [[nodiscard]] static bool trySpend(Account& account, ProgramStage stage, Instant now);
  static void dropVoid(Account& account, Instant now);
  void finish(Account& account, const QuotaDecision& decision);
  [[nodiscard]] Duration spread(Duration retryAfter);

  QuotaFleet& fleet_;
  QuotaKnobs knobs_;
  std::string ownAddress_;
  std::function<Instant()> clock_;
  RandomSource random_;
  ShareLender lender_;
  QuotaCoordinator coordinator_;
  std::unordered_map<std::string, Account> accounts_;
  /// Who decided last, by partition: asked first while it decides. After a split heals the nodes
  /// that others chose as coordinator return, with nothing borrowed.
  std::map<std::uint32_t, std::string> proven_;
  std::map<std::uint32_t, std::string> lastDecided_;  ///< Likewise, also while nobody decides.
  std::map<std::uint32_t, LastAnswer> lastAnswers_;   ///< By partition; decided or not.
  std::unordered_map<std::uint64_t, std::string> askingTenants_;  ///< By number of the request.
  std::deque<std::pair<std::string, QuotaMessage>> toSelf_;
  bool deliversToSelf_ = false;
  /// Begins at random: a reply to an earlier life must not fit.
  std::uint64_t nextNumber_;
  std::size_t waiting_ = 0;
  QuotaCounters counters_;
};

}  // namespace gorsetrail::quota
