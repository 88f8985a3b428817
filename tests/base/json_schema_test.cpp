#include "base/json_schema.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;

namespace {

constexpr const char* kSchema = R"({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "definitions": {"part": {"type": "object", "additionalProperties": false, "required": ["name"],
    "properties": {"name": {"type": "string", "pattern": "^[a-z]+$"}}}},
  "type": "object", "additionalProperties": false,
  "properties": {"count": {"type": "integer", "minimum": 1},
                 "parts": {"type": "array", "items": {"$ref": "#/definitions/part"}}}})";

std::vector<SchemaBreach> check(const char* document) {
  return JsonSchema(kSchema).check(nlohmann::json::parse(document));
}

}  // namespace

TEST_GROUP(JsonSchema){};

TEST(JsonSchema, SoundDocumentHasNoBreach) {
  LONGS_EQUAL(0, check(R"({"count":1,"parts":[{"name":"a"}]})").size());
}

TEST(JsonSchema, EveryBreachIsNamedOnceAtItsInnermostPlace) {
  const auto breaches = check(R"({"parts":[{"name":"a"},{"name":"A"},{"x/y":1,"name":"a"},{}]})");
  LONGS_EQUAL(3, breaches.size());
  CHECK(breaches[0].fault == SchemaFault::InvalidValue);
  STRCMP_EQUAL("/parts/1/name", breaches[0].path.c_str());
  STRCMP_EQUAL("a value of type string matching ^[a-z]+$", breaches[0].expected.c_str());
  CHECK(breaches[1].fault == SchemaFault::MissingKey);
  STRCMP_EQUAL("/parts/3/name", breaches[1].path.c_str());
  STRCMP_EQUAL("name", breaches[1].key.c_str());
  CHECK(breaches[2].fault == SchemaFault::UnknownKey);
  STRCMP_EQUAL("/parts/2/x~1y", breaches[2].path.c_str());
  STRCMP_EQUAL("name", breaches[2].expected.c_str());
}

TEST(JsonSchema, TypesAreNotConverted) {
  const auto breaches = check(R"({"count":"1"})");
  LONGS_EQUAL(1, breaches.size());
  STRCMP_EQUAL("a value of type integer from 1", breaches[0].expected.c_str());
}

TEST(JsonSchema, RootOfAnotherTypeHasTheEmptyPath) {
  const auto breaches = check("[]");
  LONGS_EQUAL(1, breaches.size());
  STRCMP_EQUAL("", breaches[0].path.c_str());
}

TEST(JsonSchema, FailuresHoldTheEnclosingOnesToo) {
  const auto failures =
      JsonSchema(kSchema).failures(nlohmann::json::parse(R"({"parts":[{"name":"A"}]})"));
  CHECK(failures.size() > 1);
  LONGS_EQUAL(4, failures.front().context.size());
  STRCMP_EQUAL("[name]", failures.front().context.back().c_str());
}
