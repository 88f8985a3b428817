// Guards against decoders that throw on damaged documents, or that accept a value that differs from
// the document or is out of range.
//
// `GORSETRAIL_FUZZ_SECONDS=300 GORSETRAIL_FUZZ_SEED=7 test_platform -g Fuzz` runs for 300 s over
// the seeds from 7 on and prints the number of documents.
#include <cmath>
#include <optional>
#include <string>
#include <utility>

#include "base/base64.h"
#include "base/text_check.h"
#include "dispatch/fake_http_client.h"
#include "http/address.h"
#include "platform/documents.h"
#include "platform/http_log_store.h"
#include "platform/json_fields.h"
#include "valid_documents.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include "fuzz_fixture.h"

using namespace gorsetrail;
using namespace gorsetrail::platform;
using gorsetrail::testing::printable;

namespace {

bool isValidDuration(Duration span) { return span >= Duration::zero() && span <= kMaximumDuration; }

constexpr std::uint64_t kMaximumCount = 1'000'000;

const Json kValidRegistration = Json::parse(gorsetrail::testing::kRegistration);
const Json kValidConfiguration = Json::parse(gorsetrail::testing::kConfiguration);
const Json kListingResponse = Json::parse(
    R"({"items":[{"privateKey":"config","value":"aGk=","offset":4},{"privateKey":"a","value":"",
     "offset":5}],"hasMore":false,"end":6})");
const Json kAppendResponse = Json::parse(R"({"offset":840,"end":842})");
const Json kCompactionResponse = Json::parse(R"({"first":12})");
const std::string kReadResponse("\0\0\0\0\0\0\3\x4a\0\0\0\0\0\0\0\7\0\0\0\2ab\0\0\0\1c\0\0\0\0",
                                31);

/// Independent checks of a decoded document that do not use `ObjectReader`.
bool hasIntegerBetween(const Json& object, const char* name, double least, double most) {
  return object.contains(name) && object[name].is_number_integer() &&
         object[name].get<double>() >= least && object[name].get<double>() <= most;
}
bool hasString(const Json& object, const char* name, const std::string& value) {
  return object.contains(name) && object[name].is_string() && object[name] == value;
}

std::string faultOfEntry(const routing::ReplicaEntry& entry, const Json& written) {
  if (!written.is_object() || !hasString(written, "service", entry.service) ||
      !hasString(written, "address", entry.address) || !hasString(written, "zone", entry.zone)) {
    return "a string differs";
  }
  if (!isName(entry.service) || !isName(entry.zone) || !http::isUsableAddress(entry.address)) {
    return "a name or an address is invalid";
  }
  if (!hasString(written, "state", entry.draining ? "draining" : "ready")) {
    return "the state differs";
  }
  if (written.contains("slots") ? !hasIntegerBetween(written, "slots", 0, kMaximumCount) ||
                                      written["slots"] != entry.slots
                                : entry.slots != 1) {
    return "slots differ";
  }
  if (written.contains("born") != entry.startedAt.has_value() ||
      (entry.startedAt && (!hasIntegerBetween(written, "born", 0, 253402300799999.0) ||
                           written["born"] != entry.startedAt->value()))) {
    return "born differs";
  }
  if (written.contains("coldRemainingMs") != entry.coldFor.has_value() ||
      (entry.coldFor &&
       (!isValidDuration(*entry.coldFor) || !written["coldRemainingMs"].is_number() ||
        std::abs(toMilliseconds(*entry.coldFor) - written["coldRemainingMs"].get<double>()) >
            0.002))) {
    return "coldRemainingMs differs";
  }
  if ((written.contains("callSeq") && !hasIntegerBetween(written, "callSeq", 0, 1.9e19)) ||
      (written.contains("version") && !written["version"].is_string())) {
    return "an unused field has a wrong type";
  }
  return {};
}

std::string faultOfRoute(const routing::Route& route, const Json& written) {
  if (!hasString(written, "name", route.name) || !hasString(written, "host", route.host) ||
      !hasString(written, "pathPrefix", route.pathPrefix)) {
    return "a string of a route differs";
  }
  if (!isValidDuration(route.timeout) || !isValidDuration(route.targetLatency)) {
    return "a duration of a route is out of range";
  }
  if (route.priority > kMaximumCount || route.maximumAttempts > kMaximumCount ||
      route.services.empty()) {
    return "a count of a route is out of range";
  }
  const Json regions = written.value("allowedRegions", Json());
  if (regions.is_null()
          ? !route.allowedRegions.empty()
          : !regions.is_array() || (route.allowedRegions.empty() != regions.empty())) {
    return "the allowed regions of a route differ";
  }
  for (const routing::WeightedService& part : route.services) {
    if (!(part.weight >= 0 && part.weight <= 1e12)) {
      return "a weight is out of range";
    }
  }
  return {};
}

std::string faultOfConfiguration(const routing::Configuration& read, const Json& written) {
  if (!written.is_object() || !hasIntegerBetween(written, "version", 0, 1.9e19) ||
      written["version"] != read.version.value()) {
    return "the version differs";
  }
  if (!written["routes"].is_array() || written["routes"].size() != read.routes.size()) {
    return "the routes differ";
  }
  for (std::size_t index = 0; index < read.routes.size(); ++index) {
    if (auto fault = faultOfRoute(read.routes[index], written["routes"][index]); !fault.empty()) {
      return fault;
    }
  }
  for (const auto& [name, service] : read.services) {
    const double rate = service.coldRequestsPerSecond;
    if (!isValidDuration(service.coldTime) || !(rate >= 0 && rate <= 1e12) ||
        service.maximumConnections > kMaximumCount) {
      return "a number of a service is out of range";
    }
  }
  const Json tenants = written.value("tenants", Json());
  if (tenants.is_null() ? read.tenants != nullptr
                        : !tenants.is_array() || read.tenants == nullptr ||
                              read.tenants->tenants().size() != tenants.size()) {
    return "the tenants differ";
  }
  return {};
}

}  // namespace

TEST_GROUP_BASE(DocumentsFuzz, gorsetrail::testing::FuzzFixture) {
  tenant::ApiKeyHasher hasher{tenant::ApiKeyHasher::Secret{5}};
  JsonDocumentAdapter adapter{hasher};
  node::testing::FakeHttpClient client;
  HttpLogStore store{client, "10.200.1.7:8142"};

  void teardown() override {
    // Freed while leak checks are off, because the exchanges were allocated while they were off.
    client.exchanges.clear();
    client.exchanges.shrink_to_fit();
    FuzzFixture::teardown();
  }
};

TEST(DocumentsFuzz, registrations) {
  checkAll("registration", mutationsOf(kValidRegistration), [this](const std::string& document) {
    const auto read = adapter.readReplicaEntry("i-1", document);
    if (!succeeded(read)) {
      return std::string(errorOf(read).remedy.empty() ? "no remedy" : "");
    }
    return faultOfEntry(valueOf(read), Json::parse(document, nullptr, false));
  });
}

TEST(DocumentsFuzz, replicaIds) {
  const std::string id = "i-7f3a91c2";
  const std::string document = kValidRegistration.dump();
  checkAll("id", bytesOf(id), [&](const std::string& mutated) {
    const bool isRead = succeeded(adapter.readReplicaEntry(mutated, document));
    return std::string(
        isRead == isName(mutated) ? "" : "an invalid id is accepted, or a valid one rejected");
  });
}

TEST(DocumentsFuzz, equalRegistrations) {
  std::string before = kValidRegistration.dump();
  checkAll("same registration", mutationsOf(kValidRegistration), [&](const std::string& document) {
    const std::string other = std::exchange(before, document);
    const std::string original = kValidRegistration.dump();
    for (const std::string& left : {other, original}) {
      const bool same = adapter.sameRegistration(left, document);
      if (same != adapter.sameRegistration(document, left)) {
        return std::string("the comparison is not symmetric");
      }
      const auto one = adapter.readReplicaEntry("i-1", left);
      const auto two = adapter.readReplicaEntry("i-1", document);
      if (same && succeeded(one) != succeeded(two)) {
        return "equal registrations, of which only one can be decoded; the other: " +
               printable(left);
      }
      if (same && succeeded(one)) {
        const std::string fault = faultOfEntry(valueOf(one), Json::parse(document, nullptr, false));
        if (!fault.empty()) {
          return "equal registrations are decoded differently: " + fault;
        }
      }
    }
    return std::string(adapter.sameRegistration(document, document) ? "" : "differs from itself");
  });
}

TEST(DocumentsFuzz, configurations) {
  checkAll("configuration", mutationsOf(kValidConfiguration), [this](const std::string& document) {
    const auto read = adapter.readConfiguration(document);
    if (!succeeded(read)) {
      return std::string(errorOf(read).remedy.empty() ? "no remedy" : "");
    }
    return faultOfConfiguration(valueOf(read), Json::parse(document, nullptr, false));
  });
}

TEST(DocumentsFuzz, listings) {
  checkAll("listing", mutationsOf(kListingResponse), [this](const std::string& body) {
    std::string fault;
    store.listLatest({{"keyed.op", 0}, "", seconds(1)},
                     [&](const logstore::StoreResult<logstore::NewestReply>& result) {
                       const auto* const reply = std::get_if<logstore::NewestReply>(&result);
                       if (reply == nullptr) {
                         return;
                       }
                       const Json written = Json::parse(body, nullptr, false);
                       const Json& items = written["items"];
                       fault = items.size() == reply->items.size() ? "" : "the items differ";
                       for (std::size_t index = 0; fault.empty() && index < items.size(); ++index) {
                         const logstore::KeyedItem& item = reply->items[index];
                         const std::string value = items[index]["value"];
                         const bool same = hasString(items[index], "privateKey", item.key) &&
                                           item.value == decodeBase64(value).value_or(value);
                         fault = same ? "" : "an item differs";
                       }
                     });
    client.last().handler.onDone({200, {}, body});
    client.exchanges.clear();
    return fault;
  });
}

TEST(DocumentsFuzz, appends) {
  checkAll("append", mutationsOf(kAppendResponse), [this](const std::string& body) {
    std::string fault;
    store.append({{"work", 3}, {"ab"}, seconds(1)},
                 [&](const logstore::StoreResult<logstore::AppendReply>& result) {
                   const auto* const reply = std::get_if<logstore::AppendReply>(&result);
                   const Json written = Json::parse(body, nullptr, false);
                   if (reply != nullptr && (!hasIntegerBetween(written, "offset", 0, 1.2e18) ||
                                            written["offset"] != reply->offset)) {
                     fault = "the offset differs";
                   }
                 });
    client.last().handler.onDone({200, {}, body});
    client.exchanges.clear();
    return fault;
  });
}

TEST(DocumentsFuzz, recordsAndCompactionResponses) {
  checkAll("records", bytesOf(kReadResponse), [this](const std::string& body) {
    std::string fault;
    store.read({{"work", 3}, 0, Duration::zero(), seconds(1)},
               [&](const logstore::StoreResult<logstore::ReadReply>& result) {
                 if (const auto* const reply = std::get_if<logstore::ReadReply>(&result)) {
                   std::size_t bytes = 16;
                   for (const std::string& record : reply->records) {
                     bytes += 4 + record.size();
                     logstore::decodeKeyedRecord(record);
                   }
                   fault = bytes == body.size() ? "" : "bytes were skipped";
                 }
               });
    client.last().handler.onDone({200, {}, body});
    client.exchanges.clear();
    return fault;
  });
  checkAll("compaction", mutationsOf(kCompactionResponse), [this](const std::string& body) {
    std::string fault;
    store.read({{"work", 3}, 0, Duration::zero(), seconds(1)},
               [&](const logstore::StoreResult<logstore::ReadReply>& result) {
                 const auto& error = std::get<logstore::StoreError>(result);
                 const Json written = Json::parse(body, nullptr, false);
                 const bool right = error.firstKept == 0 ||
                                    (written.is_object() && written["first"] == error.firstKept);
                 fault = right ? "" : "the offset differs";
               });
    client.last().handler.onDone({410, {}, body});
    client.exchanges.clear();
    return fault;
  });
}
