#include <algorithm>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>

#include "bundle/bundle_schema.h"
#include "bundle_samples.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::bundle;
using nlohmann::json;

namespace {

json validBundle() {
  return sampleBundle(1, 0, {makeOperator("operator-a"), makeOperator("operator-b")});
}

std::vector<Error> errorsOf(const std::string& text) {
  const auto parsed = parseBundle(text);
  const auto* errors = std::get_if<std::vector<Error>>(&parsed);
  return errors == nullptr ? std::vector<Error>() : *errors;
}

std::string listOf(const std::vector<Error>& errors) {
  std::string text;
  for (const Error& error : errors) {
    text += error.toText() + "\n";
  }
  return text;
}

const Error* findAt(const std::vector<Error>& errors, const std::string& path) {
  const auto found = std::find_if(errors.begin(), errors.end(),
                                  [&](const Error& error) { return error.field == path; });
  return found == errors.end() ? nullptr : &*found;
}

/// One fault in an otherwise whole bundle must give exactly one error, at the path of the fault.
void checkSingleError(const std::string& path, const std::function<void(json&)>& spoil) {
  json bundle = validBundle();
  spoil(bundle);
  const std::vector<Error> errors = errorsOf(bundle.dump());
  const std::string text = "expected only " + path + ", got:\n" + listOf(errors);
  LONGS_EQUAL_TEXT(1, errors.size(), text.c_str());
  STRCMP_EQUAL_TEXT(path.c_str(), errors.front().field.c_str(), text.c_str());
  CHECK_TEXT(!errors.front().reason.empty() && !errors.front().remedy.empty(), text.c_str());
}

}  // namespace

// The compiled schema stays for the life of the program; made here, it is no leak of one test.
const bool kSchemaIsCompiled = !errorsOf("{}").empty();

TEST_GROUP(Parser){};

TEST(Parser, EmbeddedSchemaIsThePublishedOne) {
  std::ifstream file("docs/bundle.schema.json");
  std::stringstream text;
  text << file.rdbuf();
  CHECK(!text.str().empty());
  CHECK(text.str() == bundleSchemaText());
}

TEST(Parser, ReadsAWholeBundle) {
  const auto parsed = parseBundle(validBundle().dump());
  CHECK_TEXT(std::holds_alternative<Bundle>(parsed), "the sample must be right");
  const Bundle& bundle = std::get<Bundle>(parsed);
  STRCMP_EQUAL("paino-lumo", bundle.site.c_str());
  LONGS_EQUAL(1, bundle.version.value());
  DOUBLES_EQUAL(0.3, bundle.latencyWeight, 1e-9);
  LONGS_EQUAL(1, bundle.findPriority("interactive")->level);
  LONGS_EQUAL(0, bundle.findPriority("batch")->level);
  CHECK(!bundle.findWork("release-to-press")->repeatable);
  CHECK(bundle.findBackend("press-1")->kind == BackendKind::Application);
  LONGS_EQUAL(131072, bundle.models[0].contextTokens);
  LONGS_EQUAL(2000000, bundle.findTenant("press-a")->budget.tokensPerMinute);
}

TEST(Parser, ReportsReferencesThatLeadNowhere) {
  checkSingleError("/works/0/back_ends/1", [](json& b) { b["works"][0]["back_ends"][1] = "lm-9"; });
  checkSingleError("/works/0/adapter", [](json& b) { b["works"][0]["adapter"] = "cover"; });
  checkSingleError("/works/0/priority", [](json& b) { b["works"][0]["priority"] = "urgent"; });
  checkSingleError("/tenants/0/works/0", [](json& b) { b["tenants"][0]["works"][0] = "typing"; });
  checkSingleError("/priorities/0/above", [](json& b) { b["priorities"][0]["above"] = "lowest"; });
  checkSingleError("/adapters/0/model", [](json& b) {
    b["adapters"][0]["model"] = "lumo-9b";
    b["works"][0].erase("adapter");
  });
  checkSingleError("/back_ends/3/model", [](json& b) {
    b["back_ends"].push_back(b["back_ends"][0]);
    b["back_ends"][3]["name"] = "lm-3";
    b["back_ends"][3]["model"] = "lumo-9b";
  });
}

TEST(Parser, ReportsPartsThatDoNotFit) {
  checkSingleError("/works/0/back_ends/1",
                   [](json& b) { b["works"][0]["back_ends"][1] = "press-1"; });
  checkSingleError("/models/1", [](json& b) {
    b["models"].push_back({{"name", "idle"}, {"context_tokens", 8}});
  });
  checkSingleError("/works/0/adapter", [](json& b) {
    b["models"].push_back({{"name", "other"}, {"context_tokens", 8}});
    b["back_ends"].push_back(b["back_ends"][0]);
    b["back_ends"][3]["name"] = "lm-3";
    b["back_ends"][3]["model"] = "other";
    b["adapters"][0]["model"] = "other";
  });
  checkSingleError("/works/0/back_ends/2", [](json& b) {
    b["models"].push_back({{"name", "other"}, {"context_tokens", 8}});
    b["back_ends"].push_back(b["back_ends"][0]);
    b["back_ends"][3]["name"] = "lm-3";
    b["back_ends"][3]["model"] = "other";
    b["works"][0]["back_ends"].push_back("lm-3");
  });
  checkSingleError("/works/1", [](json& b) { b["works"][1]["model"] = "lumo-7b"; });
  checkSingleError("/back_ends/2/model", [](json& b) { b["back_ends"][2]["model"] = "lumo-7b"; });
  checkSingleError("/back_ends/3", [](json& b) {
    b["back_ends"].push_back(b["back_ends"][0]);
    b["back_ends"][3]["name"] = "lm-3";
    b["back_ends"][3].erase("model");
  });
}

TEST(Parser, ReportsWorkThatNothingMayServe) {
  checkSingleError("/works/1/back_ends",
                   [](json& b) { b["works"][1]["back_ends"] = json::array(); });
  checkSingleError("/works/1/back_ends", [](json& b) { b["back_ends"][2]["leaving"] = true; });
}

TEST(Parser, ReportsPriorityCycles) {
  json bundle = validBundle();
  bundle["priorities"][0]["above"] = "interactive";
  const std::vector<Error> errors = errorsOf(bundle.dump());
  LONGS_EQUAL(2, errors.size());
  CHECK(findAt(errors, "/priorities/0/above") != nullptr);
  CHECK(findAt(errors, "/priorities/1/above") != nullptr);
}

TEST(Parser, ReportsDuplicates) {
  for (const char* list :
       {"operators", "models", "adapters", "priorities", "back_ends", "works", "tenants"}) {
    json bundle = validBundle();
    const std::size_t size = bundle[list].size();
    bundle[list].push_back(bundle[list][0]);
    const std::vector<Error> errors = errorsOf(bundle.dump());
    const std::string path = std::string("/") + list + "/" + std::to_string(size) + "/name";
    CHECK_TEXT(findAt(errors, path) != nullptr, listOf(errors).c_str());
  }
  checkSingleError("/works/0/back_ends/2",
                   [](json& b) { b["works"][0]["back_ends"].push_back("lm-1"); });
  checkSingleError("/operators/1/public_key", [](json& b) {
    b["operators"][1]["public_key"] = b["operators"][0]["public_key"];
  });
}

TEST(Parser, ReportsUnusableAddresses) {
  for (const char* address :
       {"localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:+80",
        "127.0.0.1:80x", "0.0.0.0:80", "[::]:80", "::1:80", "[::1]", "256.0.0.1:80", "", ":80"}) {
    json bundle = validBundle();
    bundle["back_ends"][0]["address"] = address;
    // An empty text is caught as well, though by its own path.
    CHECK_TEXT(findAt(errorsOf(bundle.dump()), "/back_ends/0/address") != nullptr, address);
  }
  json bundle = validBundle();
  bundle["back_ends"][0]["address"] = "[fd00::1]:19001";
  CHECK(errorsOf(bundle.dump()).empty());
}

TEST(Parser, ReportsBudgetsThatCannotHold) {
  const std::string budget = "/tenants/0/budget/";
  for (const char* key :
       {"calls_per_program", "tokens_per_program", "seconds_per_program", "tokens_per_minute"}) {
    checkSingleError(budget + key, [key](json& b) { b["tenants"][0]["budget"][key] = 0; });
  }
  checkSingleError(budget + "tokens_per_program", [](json& b) {
    b["tenants"][0]["budget"]["seconds_per_program"] = 61;
    b["tenants"][0]["budget"]["tokens_per_minute"] = 199999;
  });
  checkSingleError(budget + "tokens_per_program",
                   [](json& b) { b["tenants"][0]["budget"]["calls_per_program"] = 3; });
}

TEST(Parser, ReportsVersionsAndThresholds) {
  checkSingleError("/version", [](json& b) { b["base"] = 1; });
  checkSingleError("/signatures_needed", [](json& b) { b["signatures_needed"] = 0; });
  checkSingleError("/signatures_needed", [](json& b) { b["signatures_needed"] = 3; });
  checkSingleError("/version", [](json& b) { b["version"] = 18446744073709551615U; });
  checkSingleError("/version", [](json& b) { b["version"] = 1.5; });
  checkSingleError("/base_digest", [](json& b) { b["base_digest"] = std::string(64, 'a'); });
}

TEST(Parser, ReportsMissingAndUnknownKeys) {
  checkSingleError("/works/0/colour", [](json& b) { b["works"][0]["colour"] = "red"; });
  checkSingleError("/a~1b", [](json& b) { b["a/b"] = 1; });
  checkSingleError("/works/0/repeatable", [](json& b) { b["works"][0].erase("repeatable"); });
  checkSingleError("/site", [](json& b) { b.erase("site"); });
  checkSingleError("/site", [](json& b) { b["site"] = "two words"; });
  checkSingleError("/site", [](json& b) { b["site"] = 7; });
  checkSingleError("/format", [](json& b) { b["format"] = 2; });
}

TEST(Parser, ReportsAllErrorsAtOnce) {
  json bundle = validBundle();
  bundle["colour"] = 1;
  bundle["shade"] = 1;
  bundle.erase("latency_weight");
  bundle.erase("site");
  bundle["back_ends"][0]["address"] = "nowhere";
  bundle["works"][1]["back_ends"][0] = "press-9";
  bundle["tenants"][0]["budget"]["tokens_per_minute"] = 0;
  const std::vector<Error> errors = errorsOf(bundle.dump());
  for (const char* path : {"/colour", "/shade", "/site", "/back_ends/0/address",
                           "/works/1/back_ends/0", "/tenants/0/budget/tokens_per_minute"}) {
    CHECK_TEXT(findAt(errors, path) != nullptr, path);
  }
}

TEST(Parser, RefusesAKeyThatStandsTwice) {
  const std::vector<Error> errors = errorsOf(R"({"works": [1, {"name": "a", "name": "b"}]})");
  CHECK(findAt(errors, "/works/1/name") != nullptr);
}

TEST(Parser, RefusesWhatIsNoBundle) {
  for (const char* text : {"", "{", "[]", "null", "1", "{\"a\": \"\xff\"}", "{} {}", "1e999"}) {
    CHECK_TEXT(!errorsOf(text).empty(), text);
  }
  CHECK(!errorsOf(std::string(800 * 1024, ' ') + "{}").empty());
}

/// Paths were built for every level, so that memory grew with the square of the depth.
TEST(Parser, RefusesDeepNestingWithoutWork) {
  constexpr std::size_t kLevels = 5000;
  CHECK(!errorsOf(std::string(kLevels, '[')).empty());
  const std::vector<Error> errors = errorsOf(std::string(kLevels, '[') + std::string(kLevels, ']'));
  STRCMP_CONTAINS("levels", listOf(errors).c_str());
}
