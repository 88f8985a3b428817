// Copy of docs/settings.schema.json; tests/node checks that both are equal.
#include "node/settings/settings_schema.h"

namespace gorsetrail::node {
namespace {

constexpr std::string_view kSchema = R"json(
{
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "gorsetrail node settings",
  "description": "Settings of one gorsetraild process. Cross-checks (own node, zones, addresses) are made at the start.",
  "type": "object",
  "additionalProperties": false,
  "required": ["node", "site", "zone", "listen", "members", "platform", "trust"],
  "definitions": {
    "name": {"type": "string", "pattern": "^[A-Za-z0-9._:/-]{1,128}$"},
    "nodeId": {"type": "integer", "minimum": 1, "maximum": 4294967295},
    "address": {
      "description": "`ipv4:port` or `[ipv6]:port`; no host names.",
      "type": "string",
      "pattern": "^.{3,60}$"
    }
  },
  "properties": {
    "node": {"description": "This node's number, unique in the fleet.", "$ref": "#/definitions/nodeId"},
    "site": {"description": "Site whose bundles this node takes.", "$ref": "#/definitions/name"},
    "zone": {"description": "Zone of this node.", "$ref": "#/definitions/name"},
    "incarnation": {
      "description": "Number of this life of the node, higher than every earlier one; by default the start time in microseconds.",
      "type": "integer", "minimum": 1, "maximum": 9007199254740991
    },
    "listen": {
      "type": "object",
      "additionalProperties": false,
      "required": ["callers", "peers"],
      "properties": {
        "callers": {"description": "Where callers' HTTP is taken.", "$ref": "#/definitions/address"},
        "peers": {"description": "Where other nodes connect.", "$ref": "#/definitions/address"}
      }
    },
    "members": {
      "description": "Every node of the fleet, this one among them; the same list at every node.",
      "type": "array",
      "minItems": 1,
      "maxItems": 4096,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["node", "zone", "peers", "callers"],
        "properties": {
          "node": {"$ref": "#/definitions/nodeId"},
          "zone": {"$ref": "#/definitions/name"},
          "peers": {"$ref": "#/definitions/address"},
          "callers": {"$ref": "#/definitions/address"}
        }
      }
    },
    "platform": {
      "type": "object",
      "additionalProperties": false,
      "required": ["log", "machines"],
      "properties": {
        "log": {"description": "The append-only log service.", "$ref": "#/definitions/address"},
        "machines": {"description": "The list of machines.", "$ref": "#/definitions/address"}
      }
    },
    "trust": {
      "description": "Operators whose signature the first bundle needs.",
      "type": "array",
      "minItems": 1,
      "maxItems": 64,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "public_key"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "public_key": {
            "description": "Ed25519 public key, 32 bytes in base64.",
            "type": "string",
            "pattern": "^[A-Za-z0-9+/]{43}=$"
          }
        }
      }
    },
    "policy": {
      "description": "Placement policy.",
      "type": "string",
      "enum": ["round-robin", "least-outstanding", "session-sticky", "sticky-lru", "prefix-affinity"]
    },
    "default_timeout_ms": {
      "description": "Time limit of a call that names none.",
      "type": "integer", "minimum": 1, "maximum": 86400000
    },
    "maximum_body_bytes": {
      "description": "Longest body of a caller's request.",
      "type": "integer", "minimum": 1024, "maximum": 16777216
    },
    "maximum_stream_buffer_bytes": {
      "description": "Text of one stream that waits for a slow caller.",
      "type": "integer", "minimum": 1024, "maximum": 16777216
    },
    "maximum_connections": {
      "description": "Callers' connections open at once.",
      "type": "integer", "minimum": 1, "maximum": 65536
    },
    "stop_limit_ms": {
      "description": "Longest planned stop; what is under way after it is cut off.",
      "type": "integer", "minimum": 0, "maximum": 86400000
    },
    "log_level": {"type": "string", "enum": ["debug", "info", "warning", "error"]},
    "seed": {"description": "Of the node's random choices.", "type": "integer", "minimum": 0, "maximum": 9007199254740991}
  }
}
)json";

}  // namespace

std::string_view settingsSchemaText() { return kSchema.substr(1); }

}  // namespace gorsetrail::node
