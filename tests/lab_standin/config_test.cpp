#include "lab/load/load_config.h"
#include "lab/standin/standin_config.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;

TEST_GROUP(LabConfig){std::string standInError(const std::string& text){
    const auto result = standin::parseStandInConfig(text, "file");
return succeeded(result) ? "" : errorOf(result).toText();
}
std::string loadError(const std::string& text) {
  const auto result = load::parseLoadConfig(text, "file");
  return succeeded(result) ? "" : errorOf(result).toText();
}
}
;

TEST(LabConfig, ExamplesAreValid) {
  CHECK(succeeded(standin::readStandInConfig("lab/standin/example.json")));
  CHECK(succeeded(load::readLoadConfig("lab/load/example.json")));
}

TEST(LabConfig, UnknownKeyIsNamedWithARemedy) {
  const std::string error = standInError(
      R"({"stand_ins":[{"name":"a","kind":"log","listen":"127.0.0.1:1","colour":"red"}]})");
  STRCMP_CONTAINS("colour", error.c_str());
  STRCMP_CONTAINS("stand_ins[0]", error.c_str());
  STRCMP_CONTAINS("STANDINS.md", error.c_str());
  STRCMP_CONTAINS("colour", loadError(R"({"colour":1,"sites":[{"name":"s","engine_works":["w"],
      "nodes":[{"node":1,"zone":"z","callers":"127.0.0.1:1"}],"tenants":[{"name":"t"}]}]})")
                                .c_str());
}

TEST(LabConfig, StepBelowThreeMillisecondsIsRefused) {
  STRCMP_CONTAINS("base_step_us", standInError(R"({"engine_defaults":{"base_step_us":2999},
      "stand_ins":[{"name":"a","kind":"log","listen":"127.0.0.1:1"}]})")
                                      .c_str());
}

TEST(LabConfig, ReversedRangesAreRefused) {
  STRCMP_CONTAINS("minimum_ms", standInError(R"({"stand_ins":[{"name":"a","kind":"tools",
      "listen":"127.0.0.1:1","minimum_ms":9,"maximum_ms":1}]})")
                                    .c_str());
  STRCMP_CONTAINS("range", loadError(R"({"sites":[{"name":"s","engine_works":["w"],
      "nodes":[{"node":1,"zone":"z","callers":"127.0.0.1:1"}],"tenants":[{"name":"t"}],
      "workload":{"turns":[3,2]}}]})")
                               .c_str());
}

TEST(LabConfig, MissingFileNamesTheFlag) {
  const auto result = load::readLoadConfig("");
  STRCMP_CONTAINS("--config", errorOf(result).toText().c_str());
}
