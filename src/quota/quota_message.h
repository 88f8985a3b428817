/// \file Quota messages between nodes. The schema `quota_message.fbs` uses older names for some of
/// them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/result.h"
#include "base/time.h"

namespace gorsetrail::quota {

/// A coordinator asks a node for its share of all limits of a partition. `LendRequest` in the
/// schema.
struct LeaseRequest {
  std::uint32_t partition = 0;
  std::uint64_t round = 0;  ///< Round of this coordinator; echoed by the reply.
  /// Whether the coordinator holds enough shares to decide; `holds_half` in the schema.
  bool hasQuorum = false;
};
/// The node leases its share for `QuotaKnobs::leaseDuration` from now on. `LendReply` in the
/// schema.
struct LeaseGrant {
  std::uint32_t partition = 0;
  std::uint64_t round = 0;
  double share = 0;  ///< Fraction of each limit, 0 to 1.
};
/// A coordinator releases its leases; the node may lease its share to another one. `LendEnd` in the
/// schema.
struct LeaseRelease {
  std::uint32_t partition = 0;
  /// Last round; leases to other incarnations of the coordinator remain valid.
  std::uint64_t round = 0;
};
/// A node asks for tokens; each admits one request of the tenant.
struct TokenRequest {
  /// Chosen by this node and echoed by the reply; `number` in the schema.
  std::uint64_t requestId = 0;
  std::string tenant;
  std::uint32_t tokensForStarted = 0;  ///< For running programs; `for_begun` in the schema.
  /// For programs that have not started; `for_beginning` in the schema.
  std::uint32_t tokensForStarting = 0;
  std::uint32_t returned = 0;  ///< Unspent tokens of `grantor` that this node gives up.
  std::uint64_t grantor = 0;   ///< Incarnation of the coordinator that granted them.
};
struct TokenReply {
  std::uint64_t requestId = 0;
  bool decided = false;  ///< False if too few shares are leased or the tenant is unknown there.
  std::uint32_t granted = 0;
  /// Whether new programs may use the tokens; `is_ample` in the schema.
  bool mayStartPrograms = false;
  Duration retryAfter{};   ///< Suggested retry delay for rejected requests.
  Duration usableAfter{};  ///< Delay from the reply until the tokens have accrued.
  std::uint64_t grantor = 0;
  std::string coordinator{};  ///< If undecided: the coordinator to ask instead; empty if unknown.
};
/// A coordinator's state of one tenant.
struct HandedAccount {
  std::string tenant;
  double level = 0;  ///< Tokens in the bucket; negative while granted tokens have not accrued.
  std::vector<std::uint16_t> granted;  ///< Granted tokens per slot of `SlidingCount`, newest first.
};
/// A coordinator that releases its leases sends its accounts to its successor.
struct HandOver {
  std::uint32_t partition = 0;
  std::uint64_t grantor = 0;  ///< Incarnation of the sending coordinator.
  /// Index among the messages of a hand-over; each may arrive more than once.
  std::uint32_t part = 0;
  std::vector<HandedAccount> accounts;
};
using QuotaMessage =
    std::variant<LeaseRequest, LeaseGrant, TokenRequest, TokenReply, LeaseRelease, HandOver>;

std::string encodeQuotaMessage(const QuotaMessage& message);
/// Errors: `InvalidFrame`.
Result<QuotaMessage> decodeQuotaMessage(std::string_view bytes);

}  // namespace gorsetrail::quota
