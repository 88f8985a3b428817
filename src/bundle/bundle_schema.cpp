// Copy of docs/bundle.schema.json; tests/bundle checks that both are equal.
#include "bundle/bundle_schema.h"

namespace gorsetrail::bundle {
namespace {

constexpr std::string_view kSchema = R"json(
{
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "gorsetrail bundle, format 1",
  "description": "One version of a site's configuration. Cross-references are checked by `gorsetrail bundle check`.",
  "type": "object",
  "additionalProperties": false,
  "required": ["format", "site", "version", "base", "signatures_needed", "operators", "models", "priorities",
               "back_ends", "works", "tenants"],
  "definitions": {
    "name": {
      "description": "1 to 128 of letters, digits, `.`, `_`, `:`, `/` and `-`.",
      "type": "string",
      "pattern": "^[A-Za-z0-9._:/-]{1,128}$"
    },
    "nameList": {"type": "array", "maxItems": 4096, "items": {"$ref": "#/definitions/name"}},
    "kind": {"type": "string", "enum": ["engine", "application"]},
    "version": {"type": "integer", "minimum": 0, "maximum": 9007199254740991}
  },
  "properties": {
    "format": {"description": "Format of this file.", "type": "integer", "enum": [1]},
    "site": {"description": "Site whose nodes may take this bundle.", "$ref": "#/definitions/name"},
    "version": {"description": "Rises with every bundle.", "type": "integer", "minimum": 1, "maximum": 9007199254740991},
    "base": {"description": "Version that this one was made from; 0 for the first.", "$ref": "#/definitions/version"},
    "base_digest": {
      "description": "SHA-256 of the base's exact bytes in lower-case hexadecimal. When given, only that base will do.",
      "type": "string",
      "pattern": "^[0-9a-f]{64}$"
    },
    "latency_weight": {
      "description": "1: only program latency counts; 0: only wasted cache.",
      "type": "number",
      "minimum": 0,
      "maximum": 1
    },
    "signatures_needed": {
      "description": "Operators of this bundle that must sign the next one.",
      "type": "integer",
      "minimum": 1,
      "maximum": 64
    },
    "operators": {
      "type": "array",
      "minItems": 1,
      "maxItems": 64,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "public_key"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "public_key": {"description": "Ed25519, 32 bytes, base64.", "type": "string", "minLength": 1, "maxLength": 64}
        }
      }
    },
    "models": {
      "type": "array",
      "maxItems": 4096,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "context_tokens"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "context_tokens": {
            "description": "Longest context of the model, in tokens.",
            "type": "integer",
            "minimum": 1,
            "maximum": 4294967295
          }
        }
      }
    },
    "adapters": {
      "type": "array",
      "maxItems": 4096,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "model"],
        "properties": {"name": {"$ref": "#/definitions/name"}, "model": {"$ref": "#/definitions/name"}}
      }
    },
    "priorities": {
      "type": "array",
      "minItems": 1,
      "maxItems": 64,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "above": {"description": "Priority that this one goes before.", "$ref": "#/definitions/name"}
        }
      }
    },
    "back_ends": {
      "type": "array",
      "maxItems": 4096,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "kind", "zone", "address"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "kind": {"$ref": "#/definitions/kind"},
          "zone": {"$ref": "#/definitions/name"},
          "address": {"description": "`ip:port` or `[ipv6]:port`.", "type": "string", "minLength": 1, "maxLength": 64},
          "model": {"description": "Engines only: the model it runs.", "$ref": "#/definitions/name"},
          "leaving": {"description": "True: it gets no new work.", "type": "boolean"}
        }
      }
    },
    "works": {
      "type": "array",
      "minItems": 1,
      "maxItems": 4096,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "kind", "priority", "repeatable", "back_ends"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "kind": {"$ref": "#/definitions/kind"},
          "model": {"description": "Engine work only.", "$ref": "#/definitions/name"},
          "adapter": {"description": "Engine work only; an adapter of the work's model.", "$ref": "#/definitions/name"},
          "priority": {"$ref": "#/definitions/name"},
          "repeatable": {"description": "False: at most once, whatever the caller says.", "type": "boolean"},
          "back_ends": {"description": "Back ends that may serve it.", "$ref": "#/definitions/nameList"}
        }
      }
    },
    "tenants": {
      "type": "array",
      "minItems": 1,
      "maxItems": 4096,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "works", "budget"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "works": {"description": "Works it may ask for.", "$ref": "#/definitions/nameList"},
          "budget": {
            "type": "object",
            "additionalProperties": false,
            "required": ["calls_per_program", "tokens_per_program", "seconds_per_program", "tokens_per_minute"],
            "properties": {
              "calls_per_program": {"type": "integer", "minimum": 1, "maximum": 4294967295},
              "tokens_per_program": {"type": "integer", "minimum": 1, "maximum": 9007199254740991},
              "seconds_per_program": {"type": "integer", "minimum": 1, "maximum": 4294967295},
              "tokens_per_minute": {
                "description": "For the whole tenant.",
                "type": "integer",
                "minimum": 1,
                "maximum": 9007199254740991
              }
            }
          }
        }
      }
    }
  }
}
)json";

}  // namespace

std::string_view bundleSchemaText() { return kSchema.substr(1); }

}  // namespace gorsetrail::bundle
