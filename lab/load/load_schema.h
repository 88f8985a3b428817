/// \file JSON Schema of the configuration of `gorsetrail-lab load`.
#pragma once

#include <string_view>

namespace gorsetrail::load {

inline constexpr std::string_view kLoadSchema = R"json({
  "type": "object", "required": ["sites"], "additionalProperties": false,
  "properties": {
    "seed": {"type": "integer", "minimum": 0},
    "bundle_grace_ms": {"$ref": "#/definitions/count"},
    "holds_empty_after_ms": {"$ref": "#/definitions/count"},
    "status_interval_ms": {"$ref": "#/definitions/positive"},
    "sites": {"type": "array", "minItems": 1, "items": {"$ref": "#/definitions/site"}}},
  "definitions": {
    "name": {"type": "string", "minLength": 1, "maxLength": 128},
    "names": {"type": "array", "items": {"$ref": "#/definitions/name"}},
    "address": {"type": "string", "pattern": "^[0-9.]+:[0-9]{1,5}$"},
    "addresses": {"type": "array", "items": {"$ref": "#/definitions/address"}},
    "count": {"type": "integer", "minimum": 0, "maximum": 4294967295},
    "positive": {"type": "integer", "minimum": 1, "maximum": 4294967295},
    "per_mille": {"type": "integer", "minimum": 0, "maximum": 1000},
    "range": {"type": "array", "minItems": 2, "maxItems": 2,
      "items": {"$ref": "#/definitions/count"}},
    "node": {"type": "object", "required": ["node", "zone", "callers"],
      "additionalProperties": false, "properties": {
        "node": {"$ref": "#/definitions/count"}, "zone": {"$ref": "#/definitions/name"},
        "callers": {"$ref": "#/definitions/address"}, "planned_stop": {"type": "boolean"}}},
    "tenant": {"type": "object", "required": ["name"], "additionalProperties": false,
      "properties": {"name": {"$ref": "#/definitions/name"},
        "calls_per_program": {"$ref": "#/definitions/count"},
        "tokens_per_program": {"$ref": "#/definitions/count"}}},
    "workload": {"type": "object", "additionalProperties": false, "properties": {
      "programs": {"$ref": "#/definitions/count"}, "concurrency": {"$ref": "#/definitions/positive"},
      "maximum_ms": {"$ref": "#/definitions/positive"}, "turns": {"$ref": "#/definitions/range"},
      "first_prompt_bytes": {"$ref": "#/definitions/range"},
      "turn_bytes": {"$ref": "#/definitions/range"},
      "shared_prefix_bytes": {"$ref": "#/definitions/count"},
      "maximum_tokens": {"$ref": "#/definitions/positive"},
      "stream_per_mille": {"$ref": "#/definitions/per_mille"},
      "tool_per_mille": {"$ref": "#/definitions/per_mille"},
      "branch_per_mille": {"$ref": "#/definitions/per_mille"},
      "application_per_mille": {"$ref": "#/definitions/per_mille"},
      "repeat_per_mille": {"$ref": "#/definitions/per_mille"},
      "looping_programs": {"$ref": "#/definitions/count"},
      "looping_tenant": {"$ref": "#/definitions/name"},
      "call_time_limit_ms": {"$ref": "#/definitions/positive"},
      "tool_time_limit_ms": {"$ref": "#/definitions/positive"},
      "maximum_attempts": {"$ref": "#/definitions/positive"}}},
    "leaving_test": {"type": "object", "required": ["engine"], "additionalProperties": false,
      "properties": {"engine": {"$ref": "#/definitions/address"},
        "after_ms": {"$ref": "#/definitions/count"}, "grace_ms": {"$ref": "#/definitions/count"},
        "watch_ms": {"$ref": "#/definitions/count"}}},
    "site": {"type": "object", "required": ["name", "nodes", "tenants", "engine_works"],
      "additionalProperties": false, "properties": {
        "name": {"$ref": "#/definitions/name"},
        "nodes": {"type": "array", "minItems": 1, "items": {"$ref": "#/definitions/node"}},
        "engines": {"$ref": "#/definitions/addresses"},
        "applications": {"$ref": "#/definitions/addresses"},
        "tools": {"$ref": "#/definitions/address"},
        "tenants": {"type": "array", "minItems": 1, "items": {"$ref": "#/definitions/tenant"}},
        "engine_works": {"type": "array", "minItems": 1, "items": {"$ref": "#/definitions/name"}},
        "application_works": {"$ref": "#/definitions/names"},
        "workload": {"$ref": "#/definitions/workload"},
        "leaving_test": {"$ref": "#/definitions/leaving_test"}}}}
})json";

}  // namespace gorsetrail::load
