#include "tenant/authentication.h"

namespace gorsetrail::tenant {

Authentication authenticate(const TenantDirectory* directory,
                            const std::optional<ApiKeyDigest>& key, bool isExempt,
                            bool isConfigurationFresh) {
  if (directory == nullptr) {
    return Authenticated{};
  }
  const Tenant* const holder = key ? directory->holderOf(*key) : nullptr;
  if (holder != nullptr || isExempt) {
    return Authenticated{holder};
  }
  // A newer configuration cannot help a request without a key.
  if (key && !isConfigurationFresh) {
    return AuthenticationUncertain{};
  }
  return Unauthenticated{};
}

}  // namespace gorsetrail::tenant
