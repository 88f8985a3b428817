/// \file Lookup of tenants by API key digest and by name. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/result.h"
#include "tenant/tenant.h"

namespace gorsetrail::tenant {

/// The tenants of one configuration; immutable. A key is looked up by the first eight bytes of its
/// digest, which cannot be predicted without the secret, and then compared in constant time.
class TenantDirectory {
 public:
  /// Errors: `InvalidField` if two tenants share a name or a key, if a rate or burst is negative or
  /// not finite, or if a priority is out of range. The whole configuration is rejected, because a
  /// partial one could assign requests to the wrong tenant.
  static Result<TenantDirectory> make(std::vector<Tenant> tenants);

  /// \return the tenant with this key, or null; valid as long as the directory exists.
  [[nodiscard]] const Tenant* holderOf(const ApiKeyDigest& key) const;
  /// \return the tenant with that name, or null.
  [[nodiscard]] const Tenant* find(const std::string& name) const;
  /// \return whether any tenant has a rate limit.
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
