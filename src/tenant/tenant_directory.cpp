#include "tenant/tenant_directory.h"

#include <openssl/crypto.h>

#include <cmath>
#include <cstring>
#include <optional>
#include <string>
#include <utility>

namespace gorsetrail::tenant {
namespace {

std::uint64_t prefixOf(const ApiKeyDigest& digest) {
  std::uint64_t prefix = 0;
  std::memcpy(&prefix, digest.bytes.data(), sizeof prefix);
  return prefix;
}

Error invalid(const std::string& tenant, std::string reason, std::string remedy) {
  return {ErrorKind::InvalidField, "tenant " + tenant, std::move(reason), std::move(remedy)};
}

bool isFiniteNonNegative(double value) { return std::isfinite(value) && value >= 0; }

std::optional<Error> validationErrorOf(const Tenant& tenant) {
  if (tenant.name.empty()) {
    return invalid("(unnamed)", "its name is empty", "give each tenant a name");
  }
  if (!isFiniteNonNegative(tenant.quota.requestsPerSecond) ||
      !isFiniteNonNegative(tenant.quota.burst)) {
    return invalid(tenant.name, "its rate or burst is negative or not finite",
                   "set both to finite values of 0 or more");
  }
  if (tenant.priority.value_or(0) > kLeastUrgentPriority) {
    return invalid(tenant.name, "its priority is out of range",
                   "set a priority from 0 to " + std::to_string(kLeastUrgentPriority));
  }
  return std::nullopt;
}

}  // namespace

Result<TenantDirectory> TenantDirectory::make(std::vector<Tenant> tenants) {
  TenantDirectory directory;
  directory.tenants_ = std::move(tenants);
  for (std::size_t index = 0; index < directory.tenants_.size(); ++index) {
    const Tenant& tenant = directory.tenants_[index];
    if (auto fault = validationErrorOf(tenant)) {
      return std::move(*fault);
    }
    if (!directory.byName_.emplace(tenant.name, index).second) {
      return invalid(tenant.name, "two tenants have this name", "rename one of them");
    }
    directory.hasLimits_ = directory.hasLimits_ || tenant.quota.isLimited();
    for (const ApiKeyDigest& key : tenant.keys) {
      const Tenant* const holder = directory.holderOf(key);
      if (holder != nullptr && holder != &tenant) {
        return invalid(tenant.name, "it shares an API key with tenant " + holder->name,
                       "issue a new key to one of them");
      }
      if (holder == nullptr) {
        directory.byPrefix_.emplace(prefixOf(key), KeyEntry{key, index});
      }
    }
  }
  return directory;
}

const Tenant* TenantDirectory::find(const std::string& name) const {
  const auto found = byName_.find(name);
  return found == byName_.end() ? nullptr : &tenants_[found->second];
}

const Tenant* TenantDirectory::holderOf(const ApiKeyDigest& key) const {
  const auto [first, last] = byPrefix_.equal_range(prefixOf(key));
  for (auto entry = first; entry != last; ++entry) {
    const KeyEntry& candidate = entry->second;
    if (CRYPTO_memcmp(candidate.digest.bytes.data(), key.bytes.data(), ApiKeyDigest::kBytes) == 0) {
      return &tenants_[candidate.tenant];
    }
  }
  return nullptr;
}

}  // namespace gorsetrail::tenant
