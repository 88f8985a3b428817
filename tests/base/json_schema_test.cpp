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

TEST(JsonSchema, ValidDocumentHasNoViolation) {
  LONGS_EQUAL(0, check(R"({"count":1,"parts":[{"name":"a"}]})").size());
}

TEST(JsonSchema, ReportsEachViolationOnceAtItsInnermostPath) {
  const auto violations = check(R"({"parts":[{"name":"a"},{"name":"A"},{"x/y":1,"name":"a"},{}]})");
  LONGS_EQUAL(3, violations.size());
  CHECK(violations[0].fault == SchemaFault::InvalidValue);
  STRCMP_EQUAL("/parts/1/name", violations[0].path.c_str());
  STRCMP_EQUAL("a value of type string matching ^[a-z]+$", violations[0].expected.c_str());
  CHECK(violations[1].fault == SchemaFault::MissingKey);
  STRCMP_EQUAL("/parts/3/name", violations[1].path.c_str());
  STRCMP_EQUAL("name", violations[1].key.c_str());
  CHECK(violations[2].fault == SchemaFault::UnknownKey);
  STRCMP_EQUAL("/parts/2/x~1y", violations[2].path.c_str());
  STRCMP_EQUAL("name", violations[2].expected.c_str());
}

TEST(JsonSchema, TypesAreNotConverted) {
  const auto violations = check(R"({"count":"1"})");
  LONGS_EQUAL(1, violations.size());
  STRCMP_EQUAL("a value of type integer from 1", violations[0].expected.c_str());
}

TEST(JsonSchema, RootOfAnInvalidTypeHasTheEmptyPath) {
  const auto violations = check("[]");
  LONGS_EQUAL(1, violations.size());
  STRCMP_EQUAL("", violations[0].path.c_str());
}

TEST(JsonSchema, FailuresIncludeThoseOfEnclosingValues) {
  const auto failures =
      JsonSchema(kSchema).failures(nlohmann::json::parse(R"({"parts":[{"name":"A"}]})"));
  CHECK(failures.size() > 1);
  LONGS_EQUAL(4, failures.front().context.size());
  STRCMP_EQUAL("[name]", failures.front().context.back().c_str());
}
