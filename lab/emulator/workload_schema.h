/// \file JSON Schema of a workload file.
#pragma once

#include <string_view>

namespace gorsetrail::emulator {

inline constexpr std::string_view kWorkloadSchema = R"json({
  "type": "object", "additionalProperties": false,
  "required": ["name", "replicas", "nodes", "tenants", "latency_weight", "capacity_share", "duration_s", "warm_up_s",
    "one_way_delay_us", "report_interval_ms", "event_loss_probability", "maximum_context_tokens",
    "engine", "documents", "bursts", "classes"],
  "properties": {
    "name": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,128}$"},
    "replicas": {"$ref": "#/definitions/positive"},
    "nodes": {"$ref": "#/definitions/positive"},
    "tenants": {"$ref": "#/definitions/positive"},
    "latency_weight": {"$ref": "#/definitions/probability"},
    "capacity_share": {"type": "number", "minimum": 0.001, "maximum": 1},
    "duration_s": {"$ref": "#/definitions/positive"},
    "warm_up_s": {"$ref": "#/definitions/count"},
    "one_way_delay_us": {"$ref": "#/definitions/count"},
    "report_interval_ms": {"$ref": "#/definitions/positive"},
    "event_loss_probability": {"$ref": "#/definitions/probability"},
    "maximum_context_tokens": {"$ref": "#/definitions/positive"},
    "engine": {"type": "object", "additionalProperties": false,
      "required": ["base_step_us", "step_per_stream_us", "prefill_ns_per_token",
        "prefill_tokens_per_step", "maximum_running", "block_tokens", "cache_blocks",
        "hold_limit_per_mille", "holds_yield"],
      "properties": {
        "base_step_us": {"type": "integer", "minimum": 3000, "maximum": 60000000},
        "step_per_stream_us": {"$ref": "#/definitions/count"},
        "prefill_ns_per_token": {"$ref": "#/definitions/positive"},
        "prefill_tokens_per_step": {"$ref": "#/definitions/positive"},
        "maximum_running": {"$ref": "#/definitions/positive"},
        "block_tokens": {"$ref": "#/definitions/positive"},
        "cache_blocks": {"$ref": "#/definitions/positive"},
        "holds_yield": {"type": "boolean"},
        "hold_limit_per_mille": {"type": "integer", "minimum": 0, "maximum": 1000}}},
    "documents": {"type": "object", "additionalProperties": false,
      "required": ["count", "zipf_exponent", "tokens"],
      "properties": {
        "count": {"$ref": "#/definitions/positive"},
        "zipf_exponent": {"type": "number", "minimum": 0, "maximum": 4},
        "tokens": {"$ref": "#/definitions/distribution"}}},
    "bursts": {"type": "object", "additionalProperties": false,
      "required": ["period_s", "length_s", "factor"],
      "properties": {
        "period_s": {"$ref": "#/definitions/positive"},
        "length_s": {"$ref": "#/definitions/count"},
        "factor": {"type": "number", "minimum": 1, "maximum": 100}}},
    "classes": {"type": "array", "minItems": 1, "items": {"type": "object",
      "additionalProperties": false,
      "required": ["name", "share", "priority", "system_tokens", "reads_document", "turns",
        "first_message_tokens", "turn_message_tokens", "answer_tokens", "tool_ms",
        "sub_agent_probability", "maximum_sub_agents", "abandon_probability", "patience_ms"],
      "properties": {
        "name": {"type": "string"},
        "share": {"type": "number", "minimum": 0},
        "priority": {"$ref": "#/definitions/count"},
        "system_tokens": {"$ref": "#/definitions/count"},
        "reads_document": {"type": "boolean"},
        "turns": {"$ref": "#/definitions/distribution"},
        "first_message_tokens": {"$ref": "#/definitions/distribution"},
        "turn_message_tokens": {"$ref": "#/definitions/distribution"},
        "answer_tokens": {"$ref": "#/definitions/distribution"},
        "tool_ms": {"$ref": "#/definitions/distribution"},
        "sub_agent_probability": {"$ref": "#/definitions/probability"},
        "maximum_sub_agents": {"$ref": "#/definitions/count"},
        "abandon_probability": {"$ref": "#/definitions/probability"},
        "patience_ms": {"$ref": "#/definitions/distribution"}}}}},
  "definitions": {
    "count": {"type": "integer", "minimum": 0, "maximum": 1000000000},
    "positive": {"type": "integer", "minimum": 1, "maximum": 1000000000},
    "probability": {"type": "number", "minimum": 0, "maximum": 1},
    "distribution": {"type": "object", "additionalProperties": false,
      "required": ["median", "sigma", "minimum", "maximum"],
      "properties": {
        "median": {"type": "number", "minimum": 0}, "sigma": {"type": "number", "minimum": 0},
        "minimum": {"type": "number", "minimum": 0}, "maximum": {"type": "number", "minimum": 0}}}}
})json";

}  // namespace gorsetrail::emulator
