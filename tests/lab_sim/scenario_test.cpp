#include "lab/sim/scenario.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include "lab/sim/request_tag.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::sim;

namespace {

std::string errorFor(const std::string& text) {
  const Result<Scenario> result = parseScenario(text, "file");
  return succeeded(result) ? std::string("none") : errorOf(result).toText();
}

bool mentions(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_GROUP(ScenarioFile){};

TEST(ScenarioFile, PublishedSchemaIsTheOneThatIsUsed) {
  std::ifstream file("docs/scenario.schema.json");
  std::stringstream text;
  text << file.rdbuf();
  CHECK(text.str() == scenarioSchemaText());
}

TEST(ScenarioFile, EveryScenarioOfTheRepositoryIsValid) {
  int count = 0;
  for (const auto& entry : std::filesystem::directory_iterator("lab/scenarios")) {
    const Result<Scenario> scenario = readScenario(entry.path().string());
    CHECK(succeeded(scenario));
    ++count;
  }
  CHECK(count >= 10);
}

TEST(ScenarioFile, ErrorsNameThePathAndTheRemedy) {
  const std::string head =
      R"({"format":1,"name":"x","duration_s":1,"zones":[{"name":"a","nodes":2}])";
  CHECK(mentions(errorFor(head + R"(,"faults":[{"at_s":1,"kind":"kill_node","node":3}]})"),
                 "/faults/0/node"));
  CHECK(mentions(errorFor(head + R"(,"faults":[{"at_s":1,"kind":"lose_zone","zone":"b"}]})"),
                 "/faults/0/zone"));
  CHECK(mentions(errorFor(head + R"(,"surprise":1})"), "scenario.schema.json"));
  CHECK(mentions(errorFor(head + R"(,"faults":[{"at_s":1,"kind":"explode"}]})"), "faults"));
  CHECK(mentions(errorFor("{"), "not valid JSON"));
  STRCMP_EQUAL("none", errorFor(head + "}").c_str());
}

TEST(ScenarioFile, TagsAreReadBackFromTexts) {
  const RequestTag tag{"program-1", "sub-2", 17};
  const std::string text = "x " + RequestTag{"other", "", 3}.toText() + " y " + tag.toText() + " z";
  CHECK(lastTagIn(text) == tag);
  CHECK_FALSE(lastTagIn("no tag [[ here").has_value());
}

TEST(ScenarioFile, AnswersHaveTheTokensAskedFor) {
  const std::string answer = makeAnswer({"program-1", "", 2}, "abc.1.2.3", 40);
  CHECK_EQUAL(40U, answerTokens(answer));
  CHECK_EQUAL(0U, answer.size() % kCharactersPerAnswerToken);
}
