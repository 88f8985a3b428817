/// \file The coordinator's side of quotas at one node. No I/O; time is handed in.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "quota/fleet_view.h"
#include "quota/quota_knobs.h"
#include "quota/quota_message.h"
#include "quota/quota_pool.h"

namespace gorsetrail::quota {

/// Borrows shares for the partitions that this node coordinates, grants tokens from them, and hands
/// partitions over to other coordinators.
class QuotaCoordinator {
 public:
  /// Sends a message to a node, this one included.
  using Send = std::function<void(const std::string& to, const QuotaMessage& message)>;

  /// \param fleet and \param random outlive this object. \param life differs between processes.
  QuotaCoordinator(QuotaFleet& fleet, const QuotaKnobs& knobs, std::string ownAddress,
                   std::uint64_t life, std::function<Instant()> clock, RandomSource& random,
                   Send send);

  void onLendReply(const std::string& from, const LendReply& reply);
  /// \param partition of the request's tenant.
  void onTokenRequest(const std::string& from, std::uint32_t partition,
                      const TokenRequest& request);
  void onHandOver(const std::string& from, const HandOver& handOver);
  /// Two coordinators of one partition would each hold a part of the shares for good, since nodes
  /// renew their lends to whoever asks: the one that holds less than half gives way, or that which
  /// comes second in an order that all nodes know.
  void considerRival(const std::string& rival, const LendRequest& request);
  /// Another coordinator counts no lend of the partition any more.
  void onRivalEnd(const std::string& from, std::uint32_t partition);
  /// Sends what is due.
  void onTick();
  /// Before a planned stop: nothing is granted any more, and nodes may lend to another node.
  void end();
  /// \return how many token requests were replied to.
  [[nodiscard]] std::uint64_t tokenReplies() const { return tokenReplies_; }

 private:
  /// The coordinator's state of one partition.
  struct Coordination {
    std::unique_ptr<QuotaPool> pool;
    Instant neededUntil;  ///< Somebody asked, or this node is the first choice.
    std::uint64_t round = 0;
    Instant roundAt;
    Instant hurriesUntil;  ///< Lends that ended elsewhere are free now: rounds follow fast.
  };
  using LendEnds = std::vector<LendEnd>;
  /// An end that is told again, since a message may be lost.
  struct RepeatedEnd {
    LendEnd end;
    std::uint32_t left = 0;
  };
  /// Another coordinator of a partition that this node leaves it to.
  struct GivenWay {
    std::string rival;
    Instant heardAt;
  };

  void coordinate(std::uint32_t partition);
  Coordination& coordinationOf(std::uint32_t partition);
  [[nodiscard]] bool givesWay(std::uint32_t partition) const;
  void announceEnds(const LendEnds& ends);
  void tellAll(const LendEnd& end);
  void repeatEnds();
  /// Tells the next coordinator what this one has granted. It goes out before the lends end, so
  /// that it is there before anything can be granted.
  void handOver(std::uint32_t partition, Coordination& coordination, const std::string& successor);

  QuotaFleet& fleet_;
  QuotaKnobs knobs_;
  std::string ownAddress_;
  std::uint64_t life_;
  std::function<Instant()> clock_;
  RandomSource& random_;
  Send send_;
  std::map<std::uint32_t, Coordination> coordinations_;
  bool coordinates_ = true;                     ///< False from the planned stop on.
  std::map<std::uint32_t, GivenWay> givenWay_;  ///< By partition.
  std::vector<RepeatedEnd> repeatedEnds_;
  std::uint64_t tokenReplies_ = 0;
};

}  // namespace gorsetrail::quota
