/// Runs complete commands against a fake platform and files in a temporary folder.
#include <gflags/gflags.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "bundle/bundle_samples.h"
#include "cli/run.h"
#include "fake_platform.h"

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace gorsetrail;
using namespace gorsetrail::cli;
using nlohmann::json;

namespace {

const std::string kFolder = "build-test-cli-files/";
const std::string kLog = "127.0.0.1:18001";

std::string path(const std::string& name) { return kFolder + name; }

void save(const std::string& name, const std::string& text) { std::ofstream(path(name)) << text; }

std::string load(const std::string& name) {
  std::ifstream file(path(name));
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Runs commands and captures their output.
class CommandRunner {
 public:
  int run(const std::string& line) {
    std::istringstream stream(line);
    std::vector<std::string> arguments;
    for (std::string word; stream >> word;) {
      arguments.push_back(word);
    }
    std::ostringstream out;
    std::ostringstream err;
    const auto pause = [this](Duration) { ++pauses; };
    const ExitCode code = cli::run(arguments, platform, pause, out, err);
    output = out.str();
    errors = err.str();
    return static_cast<int>(code);
  }

  /// Runs a command with --log and --settings.
  int runOnLog(const std::string& line) {
    return run(line + " --log " + kLog + " --settings " + path("settings.json"));
  }

  FakePlatform platform;
  std::string output;
  std::string errors;
  int pauses = 0;
};

bundle::TestOperator& operatorA() {
  static bundle::TestOperator one = bundle::makeOperator("operator-a");
  return one;
}
bundle::TestOperator& operatorB() {
  static bundle::TestOperator one = bundle::makeOperator("operator-b");
  return one;
}

std::string sealed(const bundle::TestOperator& signer, std::uint64_t version, std::uint64_t base,
                   double weight = 0.5) {
  json content = bundle::sampleBundle(version, base, {operatorA(), operatorB()});
  content["latency_weight"] = weight;
  return bundle::sealedBy({signer}, content);
}

const bool kOperatorsAreMade = operatorA().name != operatorB().name;

/// More than any flag value in these tests needs; a flag's string keeps its capacity.
constexpr std::size_t kReservedFlagBytes = 256;

void reserveFlagStorage() {
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  for (const gflags::CommandLineFlagInfo& flag : flags) {
    if (flag.type == "string" && flag.filename.ends_with("cli/options.cpp")) {
      gflags::SetCommandLineOption(flag.name.c_str(), std::string(kReservedFlagBytes, 'x').c_str());
      gflags::SetCommandLineOption(flag.name.c_str(), flag.default_value.c_str());
    }
  }
}

/// Allocates the command list, the compiled schema and the flag strings outside leak detection,
/// because they live until exit and would be reported as leaks of the first test that uses them.
bool initializeStatics() {
  MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
  static const bool isMade = [] {
    reserveFlagStorage();
    const auto refused = bundle::parseBundle("{}");
    return CommandRunner().run("--help") == 0 && !std::holds_alternative<bundle::Bundle>(refused);
  }();
  MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
  return isMade;
}

class CommandFixture : public Utest {
 public:
  void setup() override {
    CHECK(kOperatorsAreMade);
    CHECK(initializeStatics());
    std::filesystem::remove_all(kFolder);
    std::filesystem::create_directory(kFolder);
    save("a.pem", operatorA().keys.privateKeyPem);
    save("b.pem", operatorB().keys.privateKeyPem);
    const json trust = {{{"name", "operator-a"}, {"public_key", operatorA().keys.publicKey}},
                        {{"name", "operator-b"}, {"public_key", operatorB().keys.publicKey}}};
    save("settings.json", json({{"site", "paino-lumo"}, {"trust", trust}}).dump());
    runner.platform.records = {sealed(operatorA(), 1, 0)};
  }
  void teardown() override { std::filesystem::remove_all(kFolder); }

  /// \return whether the back end `name` is leaving in the bundle in force.
  bool isLeaving(const std::string& name) {
    bundle::BundleHolder holder("paino-lumo", {operatorA().publicPart(), operatorB().publicPart()});
    for (const std::string& record : runner.platform.records) {
      holder.offerFromLog(record);
    }
    return holder.inForce()->findBackend(name)->leaving;
  }

  CommandRunner runner;
};

}  // namespace

TEST_GROUP_BASE(Command, CommandFixture){};

TEST(Command, PublishesTwoVersionsFromANewKey) {
  runner.platform.records.clear();
  LONGS_EQUAL(0, runner.run("keygen --name op --out " + path("op.pem")));
  const json publicPart = json::parse(runner.output);
  save("settings.json", json({{"site", "s"}, {"trust", {publicPart}}}).dump());
  LONGS_EQUAL(0, runner.run("bundle new " + path("one.json") + " --site s --name op --key " +
                            path("op.pem")));
  LONGS_EQUAL(0, runner.run("bundle check " + path("one.json")));
  LONGS_EQUAL(0,
              runner.run("bundle sign " + path("one.json") + " --name op --key " + path("op.pem")));
  LONGS_EQUAL(0, runner.runOnLog("bundle publish " + path("one.envelope")));
  LONGS_EQUAL(1, runner.platform.records.size());
  LONGS_EQUAL(0, runner.runOnLog("bundle new " + path("two.json")));
  LONGS_EQUAL(0, runner.runOnLog("bundle diff " + path("two.json")));
  STRCMP_CONTAINS("~ /version: 1 -> 2", runner.output.c_str());
  LONGS_EQUAL(0,
              runner.run("bundle sign " + path("two.json") + " --name op --key " + path("op.pem")));
  LONGS_EQUAL(0, runner.runOnLog("bundle publish --format=json " + path("two.envelope")));
  LONGS_EQUAL(2, json::parse(runner.output)["version"].get<int>());
  LONGS_EQUAL(0, runner.runOnLog("bundle history --format json"));
  CHECK(json::parse(runner.output)[1]["won"] == true);
}

TEST(Command, KeyFilesAreOwnerOnlyAndNotOverwritten) {
  LONGS_EQUAL(0, runner.run("keygen --name op --out " + path("op.pem")));
  CHECK(std::filesystem::status(path("op.pem")).permissions() ==
        (std::filesystem::perms::owner_read | std::filesystem::perms::owner_write));
  const std::string before = load("op.pem");
  LONGS_EQUAL(2, runner.run("keygen --name op --out " + path("op.pem")));
  CHECK(before == load("op.pem"));
}

TEST(Command, CheckPrintsEveryErrorWithItsPath) {
  json content = bundle::sampleBundle(2, 1, {operatorA()});
  content["works"][0]["back_ends"][0] = "lm-9";
  content["colour"] = 1;
  save("bad.json", content.dump());
  LONGS_EQUAL(2, runner.run("bundle check " + path("bad.json")));
  STRCMP_CONTAINS("/works/0/back_ends/0", runner.errors.c_str());
  STRCMP_CONTAINS("/colour", runner.errors.c_str());
  LONGS_EQUAL(2, runner.run("bundle check --format json " + path("bad.json")));
  LONGS_EQUAL(2, json::parse(runner.errors)["errors"].size());
  LONGS_EQUAL(2, runner.run("bundle check " + path("missing.json")));
}

TEST(Command, SignRefusesAKeyThatIsNotTheOperators) {
  save("two.json", bundle::sampleBundle(2, 1, {operatorA(), operatorB()}).dump());
  LONGS_EQUAL(2, runner.run("bundle sign " + path("two.json") + " --name operator-a --key " +
                            path("b.pem")));
  CHECK(!std::filesystem::exists(path("two.envelope")));
}

TEST(Command, ASecondOperatorAddsASignature) {
  save("two.json", bundle::sampleBundle(2, 1, {operatorA(), operatorB()}, 2).dump());
  LONGS_EQUAL(0, runner.run("bundle sign " + path("two.json") + " --name operator-a --key " +
                            path("a.pem")));
  LONGS_EQUAL(1, runner.runOnLog("bundle publish " + path("two.envelope")));
  STRCMP_CONTAINS("lock everybody out", runner.errors.c_str());
  LONGS_EQUAL(0, runner.platform.appends);
  LONGS_EQUAL(0, runner.run("bundle sign " + path("two.envelope") + " --name operator-b --key " +
                            path("b.pem")));
  LONGS_EQUAL(0, runner.runOnLog("bundle publish " + path("two.envelope")));
}

TEST(Command, PublishRefusesAnOutdatedBaseBeforeItAppends) {
  runner.platform.records.push_back(sealed(operatorB(), 2, 1, 0.9));
  save("late.envelope", sealed(operatorA(), 2, 1, 0.1));
  LONGS_EQUAL(4, runner.runOnLog("bundle publish " + path("late.envelope")));
  LONGS_EQUAL(0, runner.platform.appends);
  STRCMP_CONTAINS("version 2 by operator-b", runner.errors.c_str());
  STRCMP_CONTAINS("~ /latency_weight: 0.5 -> 0.9", runner.errors.c_str());
}

TEST(Command, PublishReportsTheAcceptedVersionAfterAConflict) {
  save("mine.envelope", sealed(operatorA(), 2, 1, 0.1));
  runner.platform.beforeAppend = [this] {
    runner.platform.records.push_back(sealed(operatorB(), 2, 1, 0.9));
  };
  LONGS_EQUAL(4, runner.runOnLog("bundle publish " + path("mine.envelope")));
  LONGS_EQUAL(1, runner.platform.appends);
  STRCMP_CONTAINS("version 2 by operator-b (offset 1)", runner.errors.c_str());
  LONGS_EQUAL(4, runner.runOnLog("bundle publish " + path("mine.envelope")));
  LONGS_EQUAL(1, runner.platform.appends);
}

TEST(Command, ALostAppendResponseDoesNotCauseASecondAppend) {
  save("mine.envelope", sealed(operatorA(), 2, 1));
  runner.platform.dropsResponse = true;
  LONGS_EQUAL(0, runner.runOnLog("bundle publish " + path("mine.envelope")));
  LONGS_EQUAL(1, runner.platform.appends);
  LONGS_EQUAL(0, runner.runOnLog("bundle publish " + path("mine.envelope")));
  STRCMP_CONTAINS("already published", runner.output.c_str());
  LONGS_EQUAL(1, runner.platform.appends);
}

TEST(Command, ALostRecordIsReportedAsUnknownAndNotRetried) {
  save("mine.envelope", sealed(operatorA(), 2, 1));
  runner.platform.dropsRecord = true;
  LONGS_EQUAL(3, runner.runOnLog("bundle publish " + path("mine.envelope")));
  STRCMP_CONTAINS("may still be appended", runner.errors.c_str());
  LONGS_EQUAL(1, runner.platform.appends);
  CHECK(runner.pauses > 1);
}

TEST(Command, ALogThatGoesDownAfterTheAppendLeavesTheOutcomeUnknown) {
  save("mine.envelope", sealed(operatorA(), 2, 1));
  runner.platform.isDownAfterAppend = true;
  LONGS_EQUAL(3, runner.runOnLog("bundle publish " + path("mine.envelope")));
  runner.platform.isDown = false;
  LONGS_EQUAL(0, runner.runOnLog("bundle publish " + path("mine.envelope")));
  LONGS_EQUAL(1, runner.platform.appends);
}

TEST(Command, AnUnavailableLogIsReportedAsPlatformUnavailable) {
  save("mine.envelope", sealed(operatorA(), 2, 1));
  runner.platform.isDown = true;
  LONGS_EQUAL(3, runner.runOnLog("bundle publish " + path("mine.envelope")));
  LONGS_EQUAL(3, runner.runOnLog("bundle history"));
  LONGS_EQUAL(0, runner.platform.appends);
}

TEST(Command, DrainPublishesAVersionInWhichTheBackEndLeaves) {
  const std::string flags = " --name operator-a --key " + path("a.pem");
  LONGS_EQUAL(0, runner.runOnLog("drain lm-1" + flags));
  CHECK(isLeaving("lm-1"));
  CHECK(!isLeaving("lm-2"));
  LONGS_EQUAL(0, runner.runOnLog("drain lm-1" + flags));
  STRCMP_CONTAINS("leaving already", runner.output.c_str());
  LONGS_EQUAL(1, runner.platform.appends);
  LONGS_EQUAL(2, runner.runOnLog("drain lm-7" + flags));
  LONGS_EQUAL(2, runner.runOnLog("drain lm-2" + flags));
  STRCMP_CONTAINS("nothing may serve", runner.errors.c_str());
}

TEST(Command, DrainIsRetriedAfterAVersionConflict) {
  json other = bundle::sampleBundle(2, 1, {operatorA(), operatorB()});
  other["latency_weight"] = 0.9;
  runner.platform.beforeAppend = [this, &other] {
    runner.platform.records.push_back(bundle::sealedBy({operatorB()}, other));
  };
  LONGS_EQUAL(0, runner.runOnLog("drain lm-1 --name operator-a --key " + path("a.pem")));
  CHECK(isLeaving("lm-1"));
  LONGS_EQUAL(0, runner.runOnLog("bundle history"));
  STRCMP_CONTAINS("in force", runner.output.c_str());
  LONGS_EQUAL(2, runner.platform.appends);
}

TEST(Command, DrainWritesAnEnvelopeWhenMoreSignaturesAreNeeded) {
  runner.platform.records = {bundle::sealedBy(
      {operatorA(), operatorB()}, bundle::sampleBundle(1, 0, {operatorA(), operatorB()}, 2))};
  const std::string envelope = path("drain.envelope");
  LONGS_EQUAL(1, runner.runOnLog("drain lm-1 --name operator-a --key " + path("a.pem") + " --out " +
                                 envelope));
  LONGS_EQUAL(0, runner.platform.appends);
  LONGS_EQUAL(0,
              runner.run("bundle sign " + envelope + " --name operator-b --key " + path("b.pem")));
  LONGS_EQUAL(0, runner.runOnLog("bundle publish " + envelope));
  CHECK(isLeaving("lm-1"));
}

TEST(Command, StatusShowsWhichNodeHasWhichVersion) {
  int polls = 0;
  runner.platform.pages["127.0.0.1:1"] = [&polls](const http::Request&) -> Result<http::Response> {
    ++polls;
    return FakePlatform::answer(200, {{"node", 1},
                                      {"zone", "z"},
                                      {"incarnation", 5},
                                      {"bundle_version", polls < 3 ? 6 : 7},
                                      {"members", json::array()}});
  };
  LONGS_EQUAL(0, runner.run("bundle status --nodes 127.0.0.1:1 --format json"));
  LONGS_EQUAL(6, json::parse(runner.output)[0]["bundle_version"].get<int>());
  LONGS_EQUAL(0, runner.run("bundle status --nodes 127.0.0.1:1 --wait_version 7"));
  LONGS_EQUAL(1, runner.run("bundle status --nodes 127.0.0.1:1 --wait_version 8 --timeout_s 2"));
  LONGS_EQUAL(3, runner.run("bundle status --nodes 127.0.0.1:1,127.0.0.1:2"));
  STRCMP_CONTAINS("no answer", runner.output.c_str());
}

TEST(Command, ProgramsFollowsTheRedirectToTheOwner) {
  runner.platform.pages["127.0.0.1:1"] =
      [](const http::Request& request) -> Result<http::Response> {
    STRCMP_EQUAL("/v1/programs/order%2017?tenant=press-a&zone=z", request.target.c_str());
    http::Response response = FakePlatform::answer(307, json::object());
    response.headers.push_back({"location", "http://127.0.0.1:2" + request.target});
    return response;
  };
  runner.platform.pages["127.0.0.1:2"] = [](const http::Request&) -> Result<http::Response> {
    return FakePlatform::answer(200, {{"program", "order 17"}, {"calls", 3}});
  };
  std::ostringstream out;
  std::ostringstream err;
  const ExitCode code = cli::run(
      {"programs", "order 17", "--nodes=127.0.0.1:1", "--tenant", "press-a", "--zone=z"},
      runner.platform, [](Duration) {}, out, err);
  LONGS_EQUAL(0, static_cast<int>(code));
  STRCMP_CONTAINS("calls: 3", out.str().c_str());
}

TEST(Command, WrongUsageExitsWithCodeTwo) {
  for (const char* line :
       {"", "frobnicate", "bundle", "bundle sign", "bundle check a b", "bundle check x --colour 1",
        "bundle check x --log 1", "bundle status --format xml", "bundle history",
        "bundle status --nodes", "bundle status --nodes a --timeout_s x", "completion fish"}) {
    LONGS_EQUAL_TEXT(2, runner.run(line), line);
  }
}

TEST(Command, EveryCommandHasHelpWithAnExample) {
  LONGS_EQUAL(0, runner.run("--help"));
  for (const char* words :
       {"keygen", "bundle new", "bundle check", "bundle sign", "bundle publish", "bundle status",
        "bundle diff", "bundle history", "drain", "nodes", "programs", "completion"}) {
    STRCMP_CONTAINS(words, runner.output.c_str());
  }
  LONGS_EQUAL(0, runner.run("bundle sign --help"));
  STRCMP_CONTAINS("Example:", runner.output.c_str());
  LONGS_EQUAL(0, runner.run("completion bash"));
  STRCMP_CONTAINS("complete -o default -F _gorsetrail gorsetrail", runner.output.c_str());
}
