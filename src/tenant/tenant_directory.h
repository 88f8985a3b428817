/// \file Which tenant holds an API key. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/result.h"
#include "tenant/tenant.h"

namespace gorsetrail::tenant {

/// The tenants of one configuration; immutable. Digests are found by their first eight bytes, which
/// nobody can choose without the secret, and then compared in constant time.
class TenantDirectory {
 public:
  /// Errors: `InvalidField` when two tenants have one name or one key, when a rate or burst is
  /// negative or no number, or when a priority is unknown. A configuration with such tenants is
  /// refused whole: half of it would let requests through under the wrong tenant.
  static Result<TenantDirectory> make(std::vector<Tenant> tenants);

  /// \return the tenant, or null; it lives as long as the directory.
  [[nodiscard]] const Tenant* holderOf(const ApiKeyDigest& key) const;
  /// \return the tenant of that name, or null.
  [[nodiscard]] const Tenant* find(const std::string& name) const;
  /// \return whether any tenant has a limit.
  [[nodiscard]] bool hasLimits() const { return hasLimits_; }
  [[nodiscard]] const std::vector<Tenant>& tenants() const { return tenants_; }

 private:
  struct KeyEntry {
    ApiKeyDigest digest;
    std::size_t tenant = 0;
  };
  TenantDirectory() = default;

  std::vector<Tenant> tenants_;
  std::unordered_multimap<std::uint64_t, KeyEntry> byPrefix_;
  std::unordered_map<std::string, std::size_t> byName_;
  bool hasLimits_ = false;
};

}  // namespace gorsetrail::tenant
