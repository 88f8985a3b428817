// Guards against client headers that reach a replica under a name that only the edge may set.
#include "platform/http_headers.h"

#include "base/random.h"

#include <array>
#include <cctype>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::platform;

namespace {

constexpr int kRequests = 20000;
constexpr std::array kEdgeOnlyNames = {"gorsetrail-deadline-ms",
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
// Values that HTTP parsers are known to interpret differently.
constexpr std::array kValues = {
    "forged",      "",         " forged",    "forged,forged",        "chunked", "0", "-1",
    "forged; q=1", "\tforged", "forged\x7f", "999999999999999999999"};

std::string withRandomCase(RandomSource& random, std::string name) {
  for (char& letter : name) {
    if (random.below(2) == 0) {
      letter = static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
    }
  }
  return name;
}

std::string toLowerCase(std::string name) {
  for (char& letter : name) {
    letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return name;
}

}  // namespace

TEST_GROUP(HeadsFuzz) {
  tenant::ApiKeyHasher hasher{tenant::ApiKeyHasher::Secret{5}};
  HttpHeaderAdapter adapter{hasher};
};

TEST(HeadsFuzz, replicasGetOnlyTheEdgesOwnValues) {
  RandomSource random(20261202);
  edge::Dispatch dispatch;
  dispatch.replicaId = "own-replica";
  dispatch.tenant = "own-tenant";
  for (int requestNumber = 0; requestNumber < kRequests; ++requestNumber) {
    http::ServerRequest request{"POST", "/a/b", {}, "body"};
    for (std::uint64_t count = random.below(12); count > 0; --count) {
      const bool isEdgeOnly = random.below(2) == 0;
      const std::string name = isEdgeOnly ? kEdgeOnlyNames[random.below(kEdgeOnlyNames.size())]
                                          : kOtherNames[random.below(kOtherNames.size())];
      request.headers.push_back(
          {withRandomCase(random, name), kValues[random.below(kValues.size())]});
    }
    const edge::CallRequest call = adapter.readRequest(request);
    const http::Request sent = adapter.makeReplicaRequest(call, dispatch);
    int tenants = 0;
    for (const http::Header& header : sent.headers) {
      const std::string name = toLowerCase(header.name);
      tenants += name == "gorsetrail-tenant" ? 1 : 0;
      const bool isEdgeOnly =
          std::find(kEdgeOnlyNames.begin(), kEdgeOnlyNames.end(), name) != kEdgeOnlyNames.end();
      const bool isOwn = name == "gorsetrail-deadline-ms" ||
                         name == "gorsetrail-request-priority" || header.value == "own-replica" ||
                         header.value == "own-tenant";
      CHECK_TEXT(!isEdgeOnly || isOwn, header.name.c_str());
    }
    LONGS_EQUAL(1, tenants);
    STRCMP_EQUAL("body", sent.body.c_str());
  }
}
