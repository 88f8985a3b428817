// Lookup of tenants by key, and validation of tenant configurations.
#include "tenant/tenant_directory.h"

#include <CppUTest/TestHarness.h>

#include <limits>

#include "tenant/api_key_hasher.h"

using namespace gorsetrail;
using namespace gorsetrail::tenant;

TEST_GROUP(TenantDirectory) {
  ApiKeyHasher hasher{ApiKeyHasher::Secret{1, 2, 3}};

  Tenant tenantOf(const char* name, std::initializer_list<const char*> keys) {
    Tenant made;
    made.name = name;
    for (const char* key : keys) {
      made.keys.push_back(hasher.digestOf(key));
    }
    return made;
  }
  static void checkRejected(std::vector<Tenant> tenants, const char* reason) {
    const auto made = TenantDirectory::make(std::move(tenants));
    CHECK_FALSE(succeeded(made));
    CHECK(errorOf(made).kind == ErrorKind::InvalidField);
    STRCMP_CONTAINS(reason, errorOf(made).toText().c_str());
  }
};

TEST(TenantDirectory, findsATenantByEitherKeyDuringRotation) {
  const auto made =
      TenantDirectory::make({tenantOf("a", {"old", "new"}), tenantOf("b", {"other"})});
  const TenantDirectory& directory = valueOf(made);
  STRCMP_EQUAL("a", directory.holderOf(hasher.digestOf("old"))->name.c_str());
  STRCMP_EQUAL("a", directory.holderOf(hasher.digestOf("new"))->name.c_str());
  STRCMP_EQUAL("b", directory.holderOf(hasher.digestOf("other"))->name.c_str());
}

TEST(TenantDirectory, findsNoTenantForOtherKeys) {
  const auto made = TenantDirectory::make({tenantOf("a", {"key"})});
  for (const char* wrong : {"", "ke", "keyx", "Key", " key", "Bearer key", "key,key"}) {
    POINTERS_EQUAL(nullptr, valueOf(made).holderOf(hasher.digestOf(wrong)));
  }
}

TEST(TenantDirectory, digestsDependOnTheSecret) {
  const ApiKeyHasher another{ApiKeyHasher::Secret{9}};
  const auto made = TenantDirectory::make({tenantOf("a", {"key"})});
  POINTERS_EQUAL(nullptr, valueOf(made).holderOf(another.digestOf("key")));
  CHECK(ApiKeyHasher::withRandomSecret().digestOf("key").bytes !=
        ApiKeyHasher::withRandomSecret().digestOf("key").bytes);
}

TEST(TenantDirectory, allowsATenantWithoutKeysOrWithADuplicateKey) {
  const auto made = TenantDirectory::make({tenantOf("a", {}), tenantOf("b", {"k", "k"})});
  CHECK_TRUE(succeeded(made));
  STRCMP_EQUAL("b", valueOf(made).holderOf(hasher.digestOf("k"))->name.c_str());
}

TEST(TenantDirectory, rejectsASharedKeyWithoutRevealingIt) {
  checkRejected({tenantOf("a", {"secret-key"}), tenantOf("b", {"secret-key"})},
                "shares an API key");
  const auto made =
      TenantDirectory::make({tenantOf("a", {"secret-key"}), tenantOf("b", {"secret-key"})});
  CHECK(errorOf(made).toText().find("secret-key") == std::string::npos);
}

TEST(TenantDirectory, rejectsDuplicateAndEmptyNames) {
  checkRejected({tenantOf("a", {"k"}), tenantOf("a", {"l"})}, "two tenants have this name");
  checkRejected({tenantOf("", {"k"})}, "name is empty");
}

TEST(TenantDirectory, rejectsNegativeAndNonFiniteRates) {
  for (const double wrong :
       {-1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
    Tenant rated = tenantOf("a", {"k"});
    rated.quota.requestsPerSecond = wrong;
    checkRejected({rated}, "rate or burst");
    Tenant bursting = tenantOf("a", {"k"});
    bursting.quota.burst = wrong;
    checkRejected({bursting}, "rate or burst");
  }
}

TEST(TenantDirectory, rejectsAnUnknownPriority) {
  Tenant urgent = tenantOf("a", {"k"});
  urgent.priority = kLeastUrgentPriority + 1;
  checkRejected({urgent}, "priority is out of range");
  urgent.priority = kLeastUrgentPriority;
  CHECK_TRUE(succeeded(TenantDirectory::make({urgent})));
}
