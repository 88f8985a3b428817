/// Property tests: whatever the bytes, the parsers answer with a checked value or typed errors.
#include <rapidcheck.h>
#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "base/base64.h"
#include "bundle_samples.h"
#include "property.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::bundle;
using nlohmann::json;

namespace {

/// RapidCheck reads its seed once, before the first property; a fixed one makes failures repeat.
const bool kSeedIsFixed = setenv("RC_PARAMS", "seed=20261202 max_success=400", 0) == 0;

std::vector<std::string> readCorpus() {
  std::vector<std::filesystem::path> paths;
  for (const auto& entry : std::filesystem::directory_iterator("tests/bundle/corpus")) {
    paths.push_back(entry.path());
  }
  std::sort(paths.begin(), paths.end());
  std::vector<std::string> texts;
  for (const auto& path : paths) {
    std::ifstream file(path, std::ios::binary);
    std::stringstream text;
    text << file.rdbuf();
    texts.push_back(text.str());
  }
  return texts;
}

/// Read by each test for itself.
std::vector<std::string> corpusTexts;

const std::vector<std::string>& corpus() { return corpusTexts; }

/// \return a corpus text with a few bytes changed, removed, repeated or put in.
std::string mutatedText() {
  std::string text = *rc::gen::elementOf(corpus());
  const int changes = *rc::gen::inRange(0, 8);
  for (int change = 0; change < changes && !text.empty(); ++change) {
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto length = *rc::gen::inRange<std::size_t>(0, 12);
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        text[position] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        text.erase(position, length);
        break;
      case 2:
        text.insert(position, text.substr(position, length));
        break;
      default:
        text.insert(position,
                    *rc::gen::element<std::string>("{", "]", "\"", "-1", "1e99", "null", "\\u0000",
                                                   "18446744073709551616", "0.5", ","));
    }
  }
  return text;
}

std::vector<json*> valuesOf(json& document) {
  std::vector<json*> values{&document};
  for (std::size_t next = 0; next < values.size(); ++next) {
    json& value = *values[next];
    if (value.is_structured()) {
      for (json& child : value) {
        values.push_back(&child);
      }
    }
  }
  return values;
}

/// \return a whole bundle with a few values replaced by others: it gets past the JSON parser.
std::string mutatedDocument() {
  json document = json::parse(corpus().front());
  const int changes = *rc::gen::inRange(1, 4);
  for (int change = 0; change < changes; ++change) {
    const std::vector<json*> values = valuesOf(document);
    json* target = values[*rc::gen::inRange<std::size_t>(0, values.size())];
    json* source = values[*rc::gen::inRange<std::size_t>(0, values.size())];
    const std::vector<json> others = {json(*source),
                                      json(),
                                      json(-1),
                                      json(0),
                                      json(1.5),
                                      json(""),
                                      json(18446744073709551615U),
                                      json::array(),
                                      json::object()};
    *target = others[*rc::gen::inRange<std::size_t>(0, others.size())];
  }
  return document.dump();
}

void checkErrors(const std::vector<Error>& errors) {
  RC_ASSERT(!errors.empty());
  for (const Error& error : errors) {
    RC_ASSERT(!error.field.empty());
    RC_ASSERT(!error.reason.empty());
    RC_ASSERT(!error.remedy.empty());
  }
}

/// What the node core takes for granted of a bundle that was let through.
void checkPromises(const Bundle& bundle) {
  RC_ASSERT(bundle.version > bundle.base);
  RC_ASSERT(bundle.signaturesNeeded >= 1 && bundle.signaturesNeeded <= bundle.operators.size());
  RC_ASSERT(bundle.latencyWeight >= 0 && bundle.latencyWeight <= 1);
  for (const Work& work : bundle.works) {
    RC_ASSERT(bundle.findPriority(work.priority) != nullptr);
    bool isServed = false;
    for (const std::string& name : work.backends) {
      const Backend* backend = bundle.findBackend(name);
      RC_ASSERT(backend != nullptr);
      RC_ASSERT(backend->kind == work.kind && backend->model == work.model);
      isServed = isServed || !backend->leaving;
    }
    RC_ASSERT(isServed);
  }
  for (const Tenant& tenant : bundle.tenants) {
    RC_ASSERT(tenant.budget.callsPerProgram > 0 && tenant.budget.tokensPerMinute > 0);
    for (const std::string& name : tenant.works) {
      RC_ASSERT(bundle.findWork(name) != nullptr);
    }
  }
}

void checkParse(const std::string& text) {
  const auto parsed = parseBundle(text);
  if (const auto* errors = std::get_if<std::vector<Error>>(&parsed)) {
    checkErrors(*errors);
  } else {
    checkPromises(std::get<Bundle>(parsed));
  }
}

void checkDecode(const std::string& text) {
  const Result<SignedBundle> decoded = decodeEnvelope(text);
  if (!succeeded(decoded)) {
    checkErrors({errorOf(decoded)});
    return;
  }
  const Result<SignedBundle> again = decodeEnvelope(encodeEnvelope(valueOf(decoded)));
  RC_ASSERT(succeeded(again));
  RC_ASSERT(valueOf(again).bundleJson == valueOf(decoded).bundleJson);
  RC_ASSERT(valueOf(again).signatures.size() == valueOf(decoded).signatures.size());
}

void checkAnyBytes(const std::string& bytes, const std::string& name) {
  checkDecode(encodeEnvelope({bytes, {{name, bytes}}}));
}

class FuzzFixture : public Utest {
 public:
  void setup() override {
    CHECK(kSeedIsFixed);
    corpusTexts = readCorpus();
  }
  void teardown() override { std::vector<std::string>().swap(corpusTexts); }
};

}  // namespace

TEST_GROUP_BASE(Fuzz, FuzzFixture){};

TEST(Fuzz, CorpusIsWhatItsNamesSay) {
  LONGS_EQUAL(4, corpus().size());
  CHECK(std::holds_alternative<Bundle>(parseBundle(corpus()[0])));
  CHECK(std::holds_alternative<std::vector<Error>>(parseBundle(corpus()[1])));
  CHECK(succeeded(decodeEnvelope(corpus()[2])));
  CHECK(!succeeded(decodeEnvelope(corpus()[3])));
}

TEST(Fuzz, ParseBundleAnswersAnyText) {
  CHECK(holds([] { checkParse(mutatedText()); }));
}

TEST(Fuzz, ParseBundleLetsOnlySoundBundlesThrough) {
  CHECK(holds([] { checkParse(mutatedDocument()); }));
}

TEST(Fuzz, DecodeEnvelopeAnswersAnyText) {
  CHECK(holds([] { checkDecode(mutatedText()); }));
}

TEST(Fuzz, DecodeEnvelopeAnswersAnyBundleBytes) { CHECK(holds(checkAnyBytes)); }
