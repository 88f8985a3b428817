/// \file JSON Schemas of the configuration of `gorsetrail-lab standin`.
#pragma once

#include <string_view>

namespace gorsetrail::standin {

/// The file as a whole; each stand-in is checked by the schema of its kind.
inline constexpr std::string_view kStandInFileSchema = R"json({
  "type": "object", "required": ["stand_ins"], "additionalProperties": false,
  "properties": {
    "seed": {"type": "integer", "minimum": 0},
    "log_level": {"enum": ["debug", "info", "warning", "error"]},
    "engine_defaults": {"type": "object"},
    "stand_ins": {"type": "array", "minItems": 1, "items": {"type": "object",
      "required": ["name", "kind", "listen"], "properties": {"kind": {"enum": [
        "engine", "application", "log", "machine_list", "weight_store", "tools"]}}}}}
})json";

/// One definition for each kind, and `engine_values`. The reader adds `$ref` to choose one.
inline constexpr std::string_view kStandInDefinitions = R"json({
    "name": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,128}$"},
    "listen": {"type": "string", "pattern": "^[0-9.]+:[0-9]{1,5}$"},
    "count": {"type": "integer", "minimum": 0, "maximum": 4294967295},
    "positive": {"type": "integer", "minimum": 1, "maximum": 4294967295},
    "per_mille": {"type": "integer", "minimum": 0, "maximum": 1000},
    "engine_values": {"type": "object", "additionalProperties": false, "properties": {
      "base_step_us": {"type": "integer", "minimum": 3000, "maximum": 60000000},
      "step_per_stream_us": {"$ref": "#/definitions/count"},
      "prefill_ns_per_token": {"$ref": "#/definitions/count"},
      "prefill_tokens_per_step": {"$ref": "#/definitions/positive"},
      "maximum_running": {"$ref": "#/definitions/positive"},
      "maximum_queued": {"$ref": "#/definitions/count"},
      "block_tokens": {"$ref": "#/definitions/positive"},
      "cache_blocks": {"$ref": "#/definitions/positive"},
      "hold_limit_per_mille": {"$ref": "#/definitions/per_mille"},
      "cache_event_lag_ms": {"$ref": "#/definitions/count"},
      "cache_event_gap_per_mille": {"$ref": "#/definitions/per_mille"},
      "load_report_ms": {"$ref": "#/definitions/positive"},
      "load_ms": {"$ref": "#/definitions/count"},
      "stream_keep_ms": {"$ref": "#/definitions/count"},
      "minimum_answer_tokens": {"$ref": "#/definitions/positive"},
      "maximum_answer_tokens": {"$ref": "#/definitions/positive"}}},
    "engine": {"type": "object", "required": ["name", "kind", "listen", "model"],
      "additionalProperties": false, "properties": {
        "name": {"$ref": "#/definitions/name"}, "kind": {"enum": ["engine"]},
        "listen": {"$ref": "#/definitions/listen"}, "model": {"$ref": "#/definitions/name"},
        "adapters": {"type": "array", "items": {"$ref": "#/definitions/name"}},
        "values": {"$ref": "#/definitions/engine_values"}}},
    "application": {"type": "object", "required": ["name", "kind", "listen"],
      "additionalProperties": false, "properties": {
        "name": {"$ref": "#/definitions/name"}, "kind": {"enum": ["application"]},
        "listen": {"$ref": "#/definitions/listen"},
        "run_ms": {"$ref": "#/definitions/count"}}},
    "log": {"type": "object", "required": ["name", "kind", "listen"],
      "additionalProperties": false, "properties": {
        "name": {"$ref": "#/definitions/name"}, "kind": {"enum": ["log"]},
        "listen": {"$ref": "#/definitions/listen"}}},
    "machine_list": {"type": "object", "required": ["name", "kind", "listen"],
      "additionalProperties": false, "properties": {
        "name": {"$ref": "#/definitions/name"}, "kind": {"enum": ["machine_list"]},
        "listen": {"$ref": "#/definitions/listen"},
        "lag_ms": {"$ref": "#/definitions/count"},
        "machines": {"type": "array", "items": {"type": "object",
          "required": ["node", "incarnation", "zone"], "additionalProperties": false,
          "properties": {"node": {"$ref": "#/definitions/count"},
            "incarnation": {"type": "integer", "minimum": 0},
            "zone": {"$ref": "#/definitions/name"},
            "state": {"enum": ["live", "leaving", "terminated"]}}}}}},
    "weight_store": {"type": "object", "required": ["name", "kind", "listen", "weights"],
      "additionalProperties": false, "properties": {
        "name": {"$ref": "#/definitions/name"}, "kind": {"enum": ["weight_store"]},
        "listen": {"$ref": "#/definitions/listen"},
        "requests_per_second": {"type": "number", "minimum": 0.001},
        "weights": {"type": "array", "items": {"type": "object", "required": ["name", "bytes"],
          "additionalProperties": false, "properties": {
            "name": {"$ref": "#/definitions/name"},
            "bytes": {"type": "integer", "minimum": 0}}}}}},
    "tools": {"type": "object", "required": ["name", "kind", "listen"],
      "additionalProperties": false, "properties": {
        "name": {"$ref": "#/definitions/name"}, "kind": {"enum": ["tools"]},
        "listen": {"$ref": "#/definitions/listen"},
        "minimum_ms": {"$ref": "#/definitions/count"},
        "maximum_ms": {"$ref": "#/definitions/count"},
        "hang_per_mille": {"$ref": "#/definitions/per_mille"}}}
})json";

}  // namespace gorsetrail::standin
