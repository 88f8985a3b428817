// Heads of all kinds, drawn by seed: nothing that only the system sets ever reaches a replica.
#include "platform/heads.h"

#include "base/random.h"

#include <array>
#include <cctype>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::platform;

namespace {

constexpr int kHeads = 20000;
constexpr std::array kSystemNames = {"gorsetrail-deadline-ms",
                                     "gorsetrail-expect-instance",
                                     "gorsetrail-expect-version",
                                     "gorsetrail-request-priority",
                                     "gorsetrail-key",
                                     "gorsetrail-tenant",
                                     "gorsetrail-hold",
                                     "gorsetrail-pin-ms",
                                     "gorsetrail-kv-backup",
                                     "kv-from",
                                     "kv-fetch",
                                     "last-event-id",
                                     "connection",
                                     "keep-alive",
                                     "transfer-encoding",
                                     "te",
                                     "upgrade",
                                     "content-length"};
constexpr std::array kOtherNames = {"Host",   "Gorsetrail-Request-Id", "X-Other",
                                    "Cookie", "Gorsetrail-Model",      "Gorsetrail-Program-Id"};
// The corpus: values that have told two readers different things elsewhere.
constexpr std::array kValues = {
    "forged",      "",         " forged",    "forged,forged",        "chunked", "0", "-1",
    "forged; q=1", "\tforged", "forged\x7f", "999999999999999999999"};

std::string inAnyCase(RandomSource& random, std::string name) {
  for (char& letter : name) {
    if (random.below(2) == 0) {
      letter = static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
    }
  }
  return name;
}

std::string lowered(std::string name) {
  for (char& letter : name) {
    letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return name;
}

}  // namespace

TEST_GROUP(HeadsFuzz) {
  tenant::ApiKeyHasher hasher{tenant::ApiKeyHasher::Secret{5}};
  HeadAdapter adapter{hasher};
};

TEST(HeadsFuzz, replicasGetOnlyTheSystemsOwnValues) {
  RandomSource random(20261202);
  edge::Dispatch dispatch;
  dispatch.replicaId = "own-replica";
  dispatch.tenant = "own-tenant";
  for (int head = 0; head < kHeads; ++head) {
    http::ServerRequest request{"POST", "/a/b", {}, "body"};
    for (std::uint64_t count = random.below(12); count > 0; --count) {
      const bool isSystem = random.below(2) == 0;
      const std::string name = isSystem ? kSystemNames[random.below(kSystemNames.size())]
                                        : kOtherNames[random.below(kOtherNames.size())];
      request.headers.push_back({inAnyCase(random, name), kValues[random.below(kValues.size())]});
    }
    const edge::CallRequest call = adapter.readRequest(request);
    const http::Request sent = adapter.makeReplicaRequest(call, dispatch);
    int tenants = 0;
    for (const http::Header& header : sent.headers) {
      const std::string name = lowered(header.name);
      tenants += name == "gorsetrail-tenant" ? 1 : 0;
      const bool isSystem =
          std::find(kSystemNames.begin(), kSystemNames.end(), name) != kSystemNames.end();
      const bool isOwn = name == "gorsetrail-deadline-ms" ||
                         name == "gorsetrail-request-priority" || header.value == "own-replica" ||
                         header.value == "own-tenant";
      CHECK_TEXT(!isSystem || isOwn, header.name.c_str());
    }
    LONGS_EQUAL(1, tenants);
    STRCMP_EQUAL("body", sent.body.c_str());
  }
}
