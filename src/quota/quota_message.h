/// \file Messages between nodes about quotas.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/result.h"
#include "base/time.h"

namespace gorsetrail::quota {

/// A coordinator asks a node for its share of all limits of a partition.
struct LendRequest {
  std::uint32_t partition = 0;
  std::uint64_t round = 0;  ///< Of this coordinator; the reply names it.
  bool holdsHalf = false;   ///< It has borrowed enough to decide.
};
/// The node lends its share for `QuotaKnobs::lendTime` from now on.
struct LendReply {
  std::uint32_t partition = 0;
  std::uint64_t round = 0;
  double share = 0;  ///< Of each limit, 0 to 1.
};
/// A coordinator stops as planned and counts no lend any more: the node may lend to another one.
struct LendEnd {
  std::uint32_t partition = 0;
  std::uint64_t round = 0;  ///< Its last one; lends to an earlier or later life stay.
};
/// A node asks for tokens; each lets one request of the tenant through.
struct TokenRequest {
  std::uint64_t number = 0;  ///< Of this node; the reply names it.
  std::string tenant;
  std::uint32_t forBegun = 0;      ///< For programs that have begun.
  std::uint32_t forBeginning = 0;  ///< For programs that begin.
  std::uint32_t returned = 0;      ///< Tokens of `grantor` that were not spent and never will be.
  std::uint64_t grantor = 0;       ///< The life of the coordinator that granted them.
};
struct TokenReply {
  std::uint64_t number = 0;
  bool decided = false;  ///< False: too little is borrowed, or the tenant is not known here.
  std::uint32_t granted = 0;
  bool isAmple = false;    ///< Programs may begin on them.
  Duration retryAfter{};   ///< For those who are turned away.
  Duration usableAfter{};  ///< From the reply on: until the tenant's rate has made up for them.
  std::uint64_t grantor = 0;
  std::string coordinator{};  ///< Undecided: who coordinates, as far as is known; empty: not known.
};
/// What a coordinator knows of one tenant.
struct HandedAccount {
  std::string tenant;
  double level = 0;
  std::vector<std::uint16_t> granted;  ///< By age, in slots of `SlidingCount`, the newest first.
};
/// A coordinator that counts no lend any more tells the next one how far limits are used.
struct HandOver {
  std::uint32_t partition = 0;
  std::uint64_t grantor = 0;  ///< Its life.
  std::uint32_t part = 0;     ///< Of several messages; each may come more than once.
  std::vector<HandedAccount> accounts;
};
using QuotaMessage =
    std::variant<LendRequest, LendReply, TokenRequest, TokenReply, LendEnd, HandOver>;

std::string encodeQuotaMessage(const QuotaMessage& message);
/// Errors: `InvalidFrame`.
Result<QuotaMessage> decodeQuotaMessage(std::string_view bytes);

}  // namespace gorsetrail::quota
