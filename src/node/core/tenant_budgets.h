/// \file Tokens a minute of each tenant, as this node's share of it.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "base/error.h"
#include "base/time.h"
#include "bundle/bundle.h"
#include "engine/token_bucket.h"

namespace gorsetrail::node {

/// Every configured node spends at most its equal share, also while it is cut off; so the whole
/// tenant's budget holds without any message. A call is admitted while the bucket is above zero
/// and may take it into debt: a call larger than a share is possible, and the rate still holds.
class TenantBudgets {
 public:
  explicit TenantBudgets(std::size_t configuredNodes)
      : nodes_(configuredNodes == 0 ? 1.0 : static_cast<double>(configuredNodes)) {}

  /// Takes the budgets of a bundle; what was spent under the former one stays spent.
  void update(const bundle::Bundle& bundle, Instant now);
  /// Reserves the worst case of a call. \return the refusal when the share is used up.
  std::optional<Error> reserve(const std::string& tenant, std::uint64_t tokens, Instant now);
  /// Gives back what a call did not use.
  void settle(const std::string& tenant, std::uint64_t reserved, std::uint64_t used, Instant now);

 private:
  double nodes_;
  std::unordered_map<std::string, engine::TokenBucket> buckets_;
};

}  // namespace gorsetrail::node
