// Authentication by API key, and uniqueness of scoped names across tenants.
#include "tenant/authentication.h"

#include <set>

#include <CppUTest/TestHarness.h>

#include "tenant/api_key_hasher.h"
#include "tenant/scoped_name.h"

using namespace gorsetrail;
using namespace gorsetrail::tenant;

TEST_GROUP(Authentication) {
  ApiKeyHasher hasher{ApiKeyHasher::Secret{7}};
  Result<TenantDirectory> made =
      TenantDirectory::make({Tenant{"a", {hasher.digestOf("key")}, {}, {}}});
  const TenantDirectory& directory = valueOf(made);

  Authentication decide(const char* key, bool isExempt, bool isFresh) {
    return authenticate(&directory,
                        key == nullptr ? std::nullopt : std::optional(hasher.digestOf(key)),
                        isExempt, isFresh);
  }
};

TEST(Authentication, acceptsAKnownKeyWithAnyConfiguration) {
  for (const bool isFresh : {true, false}) {
    const auto decided = decide("key", false, isFresh);
    STRCMP_EQUAL("a", std::get<Authenticated>(decided).tenant->name.c_str());
  }
}

TEST(Authentication, rejectsAnUnknownKeyOnlyWithAFreshConfiguration) {
  CHECK(std::holds_alternative<Unauthenticated>(decide("other", false, true)));
  CHECK(std::holds_alternative<AuthenticationUncertain>(decide("other", false, false)));
}

TEST(Authentication, rejectsARequestWithoutAKey) {
  CHECK(std::holds_alternative<Unauthenticated>(decide(nullptr, false, true)));
  CHECK(std::holds_alternative<Unauthenticated>(decide(nullptr, false, false)));
}

TEST(Authentication, anExemptRouteServesAllAndIdentifiesTheTenant) {
  POINTERS_EQUAL(nullptr, std::get<Authenticated>(decide(nullptr, true, true)).tenant);
  POINTERS_EQUAL(nullptr, std::get<Authenticated>(decide("other", true, true)).tenant);
  STRCMP_EQUAL("a", std::get<Authenticated>(decide("key", true, true)).tenant->name.c_str());
}

TEST(Authentication, requiresNoKeyWithoutTenants) {
  const auto decided = authenticate(nullptr, std::nullopt, false, true);
  POINTERS_EQUAL(nullptr, std::get<Authenticated>(decided).tenant);
}

TEST_GROUP(ScopedName){};

TEST(ScopedName, isUniqueAcrossTenantsForAnyIds) {
  std::set<std::string> names;
  std::size_t count = 0;
  for (const char* tenant : {"", "a", "ab", "a/b", "1:a", "0:"}) {
    for (const char* id : {"x", "b/x", "a/x", "1:a/x", "0:/x", "2:ab/x", "/x", ":"}) {
      names.insert(scopedName(tenant, id));
      ++count;
    }
  }
  LONGS_EQUAL(count, names.size());
}

TEST(ScopedName, returnsPlainIdsUnchanged) {
  STRCMP_EQUAL("9c41d07b", scopedName("", "9c41d07b").c_str());
  STRCMP_EQUAL("", scopedName("tenant", "").c_str());
  STRCMP_EQUAL("6:tenant/9c41", scopedName("tenant", "9c41").c_str());
}
