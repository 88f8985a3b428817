// Guards against decoders of settings, headers, keys and other nodes' records that throw, or that
// accept wrong or out-of-range values. For longer runs see documents_fuzz_test.cpp.
#include <cmath>
#include <optional>
#include <string>
#include <vector>

#include "base/text_check.h"
#include "edge/load_exchange.h"
#include "edge/member_table.h"
#include "http/address.h"
#include "platform/documents.h"
#include "platform/http_headers.h"
#include "platform/json_fields.h"
#include "platform/settings_file.h"
#include "valid_documents.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include "fuzz_fixture.h"

using namespace gorsetrail;
using namespace gorsetrail::platform;
using gorsetrail::testing::kSettings;

namespace {

bool isValidDuration(std::optional<Duration> span) {
  return !span || (*span >= Duration::zero() && *span <= kMaximumDuration);
}

std::string faultOfSettings(const edge::EdgeSettings& read) {
  const bool numbers =
      read.memoryBytes >= 16 * 1024 * 1024 && read.maximumDescriptors >= 256 &&
      read.store.partitionsPerTopic >= 1 && read.store.maximumRecordBytes >= 1024 &&
      std::isfinite(read.linkMegabitsPerSecond) && std::isfinite(read.store.writesPerSecond) &&
      read.bounds.stopLimit >= Duration::zero() && read.bounds.evacuation >= Duration::zero();
  if (!numbers || !isName(read.nodeName) || !isName(read.zone) ||
      !http::isUsableAddress(read.listen.clients) || !http::isUsableAddress(read.store.address)) {
    return "a setting is out of range";
  }
  return {};
}

}  // namespace

TEST_GROUP_BASE(RecordsFuzz, gorsetrail::testing::FuzzFixture) {
  tenant::ApiKeyHasher hasher{tenant::ApiKeyHasher::Secret{5}};
  JsonDocumentAdapter adapter{hasher};
  HttpHeaderAdapter heads{hasher};
};

TEST(RecordsFuzz, settings) {
  checkAll("settings", bytesOf(kSettings), [](const std::string& text) {
    const auto read = parseSettings(text, "f");
    if (const auto* const errors = std::get_if<std::vector<Error>>(&read)) {
      return std::string(errors->empty() ? "refused without an error" : "");
    }
    return faultOfSettings(std::get<edge::EdgeSettings>(read));
  });
}

TEST(RecordsFuzz, heads) {
  const std::string number = "1840.5,288";
  checkAll("heads", bytesOf(number), [this](const std::string& value) {
    const std::vector<http::Header> headers = {{"Gorsetrail-Deadline-Ms", value},
                                               {"Gorsetrail-Finish-Ms", value},
                                               {"Gorsetrail-Token-Budget", value},
                                               {"Gorsetrail-Token-Usage", value},
                                               {"Gorsetrail-Request-Id", value},
                                               {"Host", value},
                                               {value, value}};
    const edge::CallRequest call = heads.readRequest({"GET", value, headers, value});
    static_cast<void>(heads.readReplicaHead(200, headers));
    static_cast<void>(heads.readDirectoryQuery({"GET", "/v1/resolve?" + value, headers, ""}));
    for (const std::string& body : {heads.makeRefusal(call, {503, value, {}}).body,
                                    heads.makeDirectoryAnswer({value}, 1).body}) {
      if (!Json::accept(body)) {
        return std::string("a response is not valid JSON");
      }
    }
    const bool right = isValidDuration(call.deadline) && isValidDuration(call.programTimeLeft) &&
                       call.tokenBudget.value_or(0) <= std::uint64_t{1} << 50U &&
                       call.promptTokens <= std::uint64_t{1} << 50U &&
                       call.maximumTokens <= std::uint64_t{1} << 50U;
    return std::string(right ? "" : "a number is out of range");
  });
}

TEST(RecordsFuzz, memberRecords) {
  const std::string encoded =
      edge::encodeMemberRecord({"node-1", "hall-a", "1.2.3.4:5", "1.2.3.4:6", true, 9, 0.5});
  checkAll("member record", bytesOf(encoded), [](const std::string& bytes) {
    const auto read = edge::decodeMemberRecord(bytes);
    if (!succeeded(read)) {
      return std::string();
    }
    const edge::MemberRecord& record = valueOf(read);
    const auto again = edge::decodeMemberRecord(edge::encodeMemberRecord(record));
    const bool right = isName(record.nodeName) && isName(record.zone) &&
                       http::isUsableAddress(record.clientAddress) && record.capacity >= 0 &&
                       std::isfinite(record.capacity) && succeeded(again) &&
                       valueOf(again).nodeName == record.nodeName &&
                       valueOf(again).beat == record.beat &&
                       valueOf(again).capacity == record.capacity;
    return std::string(right ? "" : "a field is out of range or changed");
  });
}

TEST(RecordsFuzz, loadDigests) {
  routing::LoadDigest digest;
  digest.node = 7;
  digest.loads = {{1, 2}, {3, 4}};
  digest.troubles = {{5, 0.5, 2}};
  const std::string encoded = edge::encodeLoadDigest(digest);
  checkAll("load digest", bytesOf(encoded), [](const std::string& bytes) {
    const auto read = edge::decodeLoadDigest(bytes);
    if (!succeeded(read)) {
      return std::string();
    }
    const routing::LoadDigest& first = valueOf(read);
    const auto again = edge::decodeLoadDigest(edge::encodeLoadDigest(first));
    const bool right = succeeded(again) && valueOf(again).node == first.node &&
                       valueOf(again).loads.size() == first.loads.size() &&
                       valueOf(again).troubles.size() == first.troubles.size() &&
                       4 * first.loads.size() < bytes.size();
    return std::string(right ? "" : "a field changed");
  });
}

TEST(RecordsFuzz, evacuationKeys) {
  const std::string key = "evacuate/hall-a";
  checkAll("operators' key", bytesOf(key), [this](const std::string& mutated) {
    const auto zone = adapter.evacuatedZoneOf(mutated);
    const bool right = !zone || (isName(*zone) && "evacuate/" + *zone == mutated);
    return std::string(right ? "" : "the zone differs");
  });
}
