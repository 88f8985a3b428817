// Guards the translation between the platform's HTTP headers and the edge's types.
#include "platform/http_headers.h"

#include <algorithm>
#include <cctype>

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::platform;

namespace {

std::string headerOf(const std::vector<http::Header>& headers, const std::string& name) {
  for (const http::Header& header : headers) {
    if (header.name == name) {
      return header.value;
    }
  }
  return "<none>";
}

http::ServerRequest makeRequest() {
  return {"POST",
          "/lohu930/4b?x=1",
          {{"Host", "ficu95.example"},
           {"Gorsetrail-Request-Id", "e5b2907c14da6f38"},
           {"Gorsetrail-Program-Id", "3fa81c"},
           {"Gorsetrail-Session-Id", "77d20b"},
           {"Gorsetrail-Token-Budget", "2304"},
           {"Gorsetrail-Token-Usage", "1840,288"},
           {"Gorsetrail-Previous-Turn", "40c8f1a7b3e9265d"},
           {"Gorsetrail-Deadline-Ms", "4000"},
           {"Connection", "keep-alive"},
           {"Content-Length", "5"},
           {"X-Other", "kept"}},
          "input"};
}

}  // namespace

TEST_GROUP(Heads) {
  tenant::ApiKeyHasher hasher{tenant::ApiKeyHasher::Secret{5}};
  HttpHeaderAdapter adapter{hasher};
};

TEST(Heads, readsARequest) {
  const edge::CallRequest call = adapter.readRequest(makeRequest());
  STRCMP_EQUAL("ficu95.example", call.host.c_str());
  STRCMP_EQUAL("e5b2907c14da6f38", call.requestId.c_str());
  STRCMP_EQUAL("40c8f1a7b3e9265d", call.previousTurnId.c_str());
  LONGS_EQUAL(2304, *call.tokenBudget);
  LONGS_EQUAL(1840, call.promptTokens);
  LONGS_EQUAL(288, call.maximumTokens);
  CHECK(*call.deadline == milliseconds(4000));
  CHECK(call.path() == "/lohu930/4b");
}

TEST(Heads, forwardsRequestHeadersExceptHopByHopAndEdgeOnlyOnes) {
  const edge::CallRequest call = adapter.readRequest(makeRequest());
  edge::Dispatch dispatch;
  dispatch.address = "10.0.0.1:80";
  dispatch.replicaId = "i-1";
  dispatch.timeLeft = milliseconds(1234);
  dispatch.priority = 2;
  const http::Request sent = adapter.makeReplicaRequest(call, dispatch);
  STRCMP_EQUAL("/lohu930/4b?x=1", sent.target.c_str());
  STRCMP_EQUAL("1234", headerOf(sent.headers, "Gorsetrail-Deadline-Ms").c_str());
  STRCMP_EQUAL("i-1", headerOf(sent.headers, "Gorsetrail-Expect-Instance").c_str());
  STRCMP_EQUAL("2", headerOf(sent.headers, "Gorsetrail-Request-Priority").c_str());
  STRCMP_EQUAL("e5b2907c14da6f38", headerOf(sent.headers, "Gorsetrail-Request-Id").c_str());
  STRCMP_EQUAL("kept", headerOf(sent.headers, "X-Other").c_str());
  STRCMP_EQUAL("<none>", headerOf(sent.headers, "Connection").c_str());
  STRCMP_EQUAL("<none>", headerOf(sent.headers, "Last-Event-Id").c_str());
}

TEST(Heads, dropsWhatConnectionNamesButTheRequestsIdentity) {
  http::ServerRequest request = makeRequest();
  request.headers.push_back({"connection", "x-other , Gorsetrail-Request-Id,X-Third"});
  request.headers.push_back({"X-Third", "dropped"});
  request.headers.push_back({"X-Fourth", "kept"});
  const http::Request sent = adapter.makeReplicaRequest(adapter.readRequest(request), {});
  STRCMP_EQUAL("<none>", headerOf(sent.headers, "X-Other").c_str());
  STRCMP_EQUAL("<none>", headerOf(sent.headers, "X-Third").c_str());
  STRCMP_EQUAL("kept", headerOf(sent.headers, "X-Fourth").c_str());
  STRCMP_EQUAL("e5b2907c14da6f38", headerOf(sent.headers, "Gorsetrail-Request-Id").c_str());
}

TEST(Heads, readsWhichStreamARequestContinues) {
  http::ServerRequest request = makeRequest();
  request.headers.push_back({"resumes", "9c41d07be2a35f68"});
  request.headers.push_back({"Last-Event-Id", "7"});
  const edge::CallRequest call = adapter.readRequest(request);
  STRCMP_EQUAL("9c41d07be2a35f68", call.resumedRequestId.c_str());
  STRCMP_EQUAL("7", call.lastEventId.c_str());
  request.headers.push_back({"Resumes", "e5b2907c14da6f38"});
  CHECK_TRUE(adapter.readRequest(request).hasConflictingHeaders);
}

TEST(Heads, readsNotExecutedAndEventStreamOfAResponse) {
  CHECK_TRUE(adapter.readReplicaHead(503, {{"gorsetrail-not-executed", "1"}}).notExecuted);
  CHECK_FALSE(adapter.readReplicaHead(503, {}).notExecuted);
  CHECK_TRUE(adapter.readReplicaHead(200, {{"Content-Type", "text/event-stream; x"}}).eventStream);
}

TEST(Heads, forwardsResponseHeadersExceptHopByHopOnes) {
  const auto headers = adapter.clientHeaders({{"Gorsetrail-Response-Seal", "3e1b"},
                                              {"Keep-Alive", "timeout=5"},
                                              {"Transfer-Encoding", "chunked"}});
  LONGS_EQUAL(1, headers.size());
  STRCMP_EQUAL("3e1b", headers.front().value.c_str());
}

TEST(Heads, sendsRetryAfterWithFractionsOfASecond) {
  const auto response = adapter.makeRefusal({}, {503, "replicas_full", milliseconds(150)});
  STRCMP_EQUAL("0.150", headerOf(response.headers, "Retry-After").c_str());
  STRCMP_EQUAL(
      "<none>",
      headerOf(adapter.makeRefusal({}, {504, "deadline", {}}).headers, "Retry-After").c_str());
}

TEST(Heads, readsADirectoryQueryAndAnswersIt) {
  const auto query = adapter.readDirectoryQuery(
      {"GET", "/v1/resolve?name=a.example&region=r&zone=hall-a", {}, ""});
  STRCMP_EQUAL("hall-a", query->zone.c_str());
  STRCMP_EQUAL("a.example", query->host.c_str());
  CHECK_FALSE(adapter.readDirectoryQuery({"GET", "/other", {}, ""}).has_value());
  STRCMP_EQUAL(R"({"addresses":["10.1.0.38:8149"],"ttlS":1.0})",
               adapter.makeDirectoryAnswer({"10.1.0.38:8149"}, 1.0).body.c_str());
}

TEST(Heads, dropsClientHeadersThatOnlyTheEdgeSets) {
  const char* const edgeOnlyHeaders[] = {"Gorsetrail-Deadline-Ms",
                                         "Gorsetrail-Expect-Instance",
                                         "Gorsetrail-Expect-Version",
                                         "Gorsetrail-Request-Priority",
                                         "Gorsetrail-Key",
                                         "Gorsetrail-Tenant",
                                         "Gorsetrail-Hold",
                                         "Gorsetrail-Pin-Ms",
                                         "Gorsetrail-Kv-Backup",
                                         "Kv-From",
                                         "Kv-Fetch",
                                         "Last-Event-Id"};
  for (const std::string name : edgeOnlyHeaders) {
    std::string lower = name;
    std::string upper = name;
    std::transform(name.begin(), name.end(), lower.begin(), ::tolower);
    std::transform(name.begin(), name.end(), upper.begin(), ::toupper);
    http::ServerRequest request = makeRequest();
    for (const std::string& spelled : {name, lower, upper, name}) {
      request.headers.push_back({spelled, "forged"});
    }
    edge::Dispatch dispatch;
    dispatch.replicaId = "i-1";
    const edge::CallRequest call = adapter.readRequest(std::move(request));
    for (const http::Header& sent : adapter.makeReplicaRequest(call, dispatch).headers) {
      CHECK_TEXT(sent.value != "forged" || sent.name == "Last-Event-Id", name.c_str());
    }
  }
}

TEST(Heads, sendsTheTenantButNeverTheApiKeyToReplicas) {
  http::ServerRequest request = makeRequest();
  request.headers.push_back({"gorsetrail-key", "the-key"});
  request.headers.push_back({"Gorsetrail-Tenant", "another"});
  const edge::CallRequest call = adapter.readRequest(std::move(request));
  CHECK(call.apiKey->bytes == hasher.digestOf("the-key").bytes);
  edge::Dispatch dispatch;
  dispatch.tenant = "holder";
  const http::Request sent = adapter.makeReplicaRequest(call, dispatch);
  STRCMP_EQUAL("holder", headerOf(sent.headers, "Gorsetrail-Tenant").c_str());
  for (const http::Header& header : sent.headers) {
    CHECK(header.value.find("the-key") == std::string::npos);
  }
}

TEST(Heads, ignoresRepeatedApiKeys) {
  http::ServerRequest request = makeRequest();
  request.headers.push_back({"Gorsetrail-Key", "one"});
  request.headers.push_back({"GORSETRAIL-KEY", "one"});
  CHECK_FALSE(adapter.readRequest(std::move(request)).apiKey.has_value());
}

TEST(Heads, detectsRepeatedSingleValueHeaders) {
  CHECK_FALSE(adapter.readRequest(makeRequest()).hasConflictingHeaders);
  for (const char* name : {"host", "Gorsetrail-Request-Id", "GORSETRAIL-PROGRAM-ID",
                           "Gorsetrail-Previous-Turn", "Gorsetrail-Token-Budget"}) {
    http::ServerRequest request = makeRequest();
    request.headers.push_back({name, "another"});
    CHECK_TRUE_TEXT(adapter.readRequest(std::move(request)).hasConflictingHeaders, name);
  }
}

TEST(Heads, rejectsMalformedNumbersAndClampsLargeOnes) {
  const auto readWith = [this](const char* name, const char* value) {
    http::ServerRequest request = makeRequest();
    for (http::Header& header : request.headers) {
      header.value = header.name == name ? value : header.value;
    }
    return adapter.readRequest(std::move(request));
  };
  const char* const huge = "18446744073709551615";
  CHECK(*readWith("Gorsetrail-Deadline-Ms", huge).deadline == std::chrono::hours(24));
  CHECK(*readWith("Gorsetrail-Deadline-Ms", "999999999999999999999").deadline ==
        std::chrono::hours(24));
  CHECK(*readWith("Gorsetrail-Deadline-Ms", "1500.9").deadline == milliseconds(1500));
  for (const char* text : {"", "-1", "+1", "1.5x", "1e3", ".5", "12 ", "nan"}) {
    CHECK_FALSE_TEXT(readWith("Gorsetrail-Deadline-Ms", text).deadline.has_value(), text);
  }
  CHECK(*readWith("Gorsetrail-Token-Budget", huge).tokenBudget == std::uint64_t{1} << 50U);
  for (const char* text : {"1840,", ",288", "1840,x", "x,288", "1840", "1840,288,1"}) {
    const edge::CallRequest call = readWith("Gorsetrail-Token-Usage", text);
    LONGS_EQUAL(0, call.promptTokens);
    LONGS_EQUAL(0, call.maximumTokens);
  }
}

TEST(Heads, respondsDespiteInvalidUtf8) {
  CHECK(adapter.makeDirectoryAnswer({"10.1.0.38:8149", "\xff"}, 1.0).body.starts_with("{"));
  CHECK(adapter.makeRefusal({}, {503, "\xfe", {}}).body.starts_with("{"));
}
