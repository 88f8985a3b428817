// Guards the parsing of the settings file: values, optional keys, and errors that name the key.
#include "platform/settings_file.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::platform;

namespace {

const std::string kValidSettings = R"(
nodeName = "edge-hall-a-1"
ip = "10.1.0.38"
zone = "hall-a"
region = "fi-south"
internalPorts = [7380,7395]
seeds = ["10.1.0.38:8144","10.2.0.40:8144"]
unknownField = "ignored"
[listen]
frontend = "10.1.0.38:8149"
readiness = "10.1.0.38:8141"
directory = "10.1.0.38:8143"
[limits]
memoryMb = 230
maxFds = 8200
[bounds]
graceS = 8
drainMs = 2000
ttl_max_s = 5
[platform]
address = "10.200.1.7:8142"
parts = 8
record_bytes = 262144
)";

std::vector<Error> errorsOf(const std::string& text) {
  const auto result = parseSettings(text, "local.toml");
  const auto* const errors = std::get_if<std::vector<Error>>(&result);
  return errors == nullptr ? std::vector<Error>() : *errors;
}

std::string without(const std::string& line) {
  std::string text = kValidSettings;
  const std::size_t at = text.find(line);
  return text.erase(at, text.find('\n', at) - at);
}

}  // namespace

TEST_GROUP(SettingsFile){};

TEST(SettingsFile, readsSettingsAndIgnoresUnknownKeys) {
  const auto result = parseSettings(kValidSettings, "local.toml");
  const auto& settings = std::get<edge::EdgeSettings>(result);
  STRCMP_EQUAL("hall-a", settings.zone.c_str());
  STRCMP_EQUAL("10.1.0.38:8149", settings.listen.clients.c_str());
  LONGS_EQUAL(7380, settings.firstInternalPort);
  LONGS_EQUAL(2, settings.seeds.size());
  LONGS_EQUAL(8, settings.store.partitionsPerTopic);
  CHECK(settings.bounds.stopLimit == seconds(8));
  LONGS_EQUAL(230 * 1024 * 1024, settings.memoryBytes);
  DOUBLES_EQUAL(1000, settings.linkMegabitsPerSecond, 0);
}

TEST(SettingsFile, reportsAllMissingKeysWithRemedies) {
  const auto errors = errorsOf("[listen]\nreadiness = \"10.1.0.38:1\"\n");
  CHECK(errors.size() >= 4);
  for (const Error& error : errors) {
    CHECK(error.kind == ErrorKind::InvalidSettings);
    CHECK(!error.remedy.empty());
    STRCMP_CONTAINS("local.toml: ", error.field.c_str());
  }
}

TEST(SettingsFile, rejectsInvalidAddresses) {
  std::string text = kValidSettings;
  text.replace(text.find("10.200.1.7:8142"), 15, "store-of-theirs");
  const auto errors = errorsOf(text);
  LONGS_EQUAL(1, errors.size());
  STRCMP_EQUAL("local.toml: platform.address", errors.front().field.c_str());
}

TEST(SettingsFile, usesDefaultsForMissingOptionalKeys) {
  CHECK(errorsOf(without("drainMs")).empty());
  CHECK(errorsOf(without("directory =")).empty());
}

TEST(SettingsFile, namesTheLineOfInvalidToml) {
  const auto errors = errorsOf("nodeName = \"a\"\nzone = \n");
  LONGS_EQUAL(1, errors.size());
  STRCMP_CONTAINS("local.toml:2", errors.front().field.c_str());
}

// Deployments that do not ask for overload control must be served as before.
TEST(SettingsFile, overloadControlIsOnOnlyWhereItIsAskedFor) {
  const auto controls = [](const std::string& text) {
    const auto result = parseSettings(text, "local.toml");
    return std::get<edge::EdgeSettings>(result).overloadControl;
  };
  CHECK_FALSE(controls(kValidSettings));
  CHECK_FALSE(controls("contracts = [\"base\"]\n" + kValidSettings));
  CHECK_TRUE(controls("contracts = [\"base\",\"pressure\"]\n" + kValidSettings));
  CHECK_TRUE(controls(kValidSettings + "[overload]\ncontrol = true\n"));
  CHECK_FALSE(
      controls("contracts = [\"pressure\"]\n" + kValidSettings + "[overload]\ncontrol = false\n"));
}

TEST(SettingsFile, theLimitForProgramsIsOnOnlyWhereAnOperatorSetsIt) {
  const auto limits = [](const std::string& text) {
    const auto result = parseSettings(text, "local.toml");
    return std::get<edge::EdgeSettings>(result).limitsPrograms;
  };
  CHECK_FALSE(limits("contracts = [\"pressure\"]\n" + kValidSettings));
  CHECK_TRUE(limits(kValidSettings + "[overload]\nprogram_limit = true\n"));
  const auto errors = errorsOf(kValidSettings + "[overload]\nprogram_limit = 1.2\n");
  LONGS_EQUAL(1, errors.size());
  STRCMP_EQUAL("local.toml: overload.program_limit", errors.front().field.c_str());
}

TEST(SettingsFile, rejectsAnOverloadControlThatIsNoBoolean) {
  const auto errors = errorsOf(kValidSettings + "[overload]\ncontrol = \"yes\"\n");
  LONGS_EQUAL(1, errors.size());
  STRCMP_EQUAL("local.toml: overload.control", errors.front().field.c_str());
}
