// The text of docs/scenario.schema.json, byte for byte (a test compares the two).
#include "lab/sim/scenario.h"

namespace gorsetrail::sim {

std::string_view scenarioSchemaText() {
  // clang-format off
  return R"schema({
 "$schema": "http://json-schema.org/draft-07/schema#",
 "title": "gorsetrail scenario",
 "description": "A simulated run: site, workload, fault schedule, stated outcomes. Times are virtual.",
 "type": "object",
 "additionalProperties": false,
 "required": [
  "format",
  "name",
  "zones",
  "duration_s"
 ],
 "properties": {
  "format": {
   "const": 1
  },
  "name": {
   "type": "string",
   "pattern": "^[a-z0-9-]{1,64}$"
  },
  "description": {
   "type": "string"
  },
  "seed": {
   "type": "integer",
   "minimum": 1,
   "maximum": 9007199254740992,
   "description": "used when the command line gives none"
  },
  "duration_s": {
   "type": "number",
   "minimum": 1,
   "maximum": 86400,
   "description": "virtual time of the run before the final audit"
  },
  "zones": {
   "type": "array",
   "minItems": 1,
   "maxItems": 16,
   "items": {
    "type": "object",
    "additionalProperties": false,
    "required": [
     "name",
     "nodes"
    ],
    "properties": {
     "name": {
      "type": "string",
      "pattern": "^[a-z0-9-]{1,64}$"
     },
     "nodes": {
      "type": "integer",
      "minimum": 1,
      "maximum": 100,
      "description": "nodes of the zone"
     }
    }
   }
  },
  "engines_per_zone": {
   "type": "integer",
   "minimum": 1,
   "maximum": 32,
   "description": "model engines of each zone"
  },
  "applications_per_zone": {
   "type": "integer",
   "minimum": 0,
   "maximum": 32,
   "description": "application back ends of each zone"
  },
  "delays": {
   "type": "object",
   "additionalProperties": false,
   "properties": {
    "within_zone_us": {
     "type": "integer",
     "minimum": 1,
     "maximum": 1000000,
     "description": "one way"
    },
    "between_zones_us": {
     "type": "integer",
     "minimum": 1,
     "maximum": 1000000,
     "description": "one way"
    },
    "caller_us": {
     "type": "integer",
     "minimum": 1,
     "maximum": 1000000,
     "description": "one way"
    }
   }
  },
  "network": {
   "type": "object",
   "additionalProperties": false,
   "properties": {
    "loss_per_mille": {
     "type": "integer",
     "minimum": 0,
     "maximum": 1000,
     "description": "messages between nodes lost"
    },
    "duplicate_per_mille": {
     "type": "integer",
     "minimum": 0,
     "maximum": 1000,
     "description": "messages between nodes delivered twice"
    },
    "reorder_per_mille": {
     "type": "integer",
     "minimum": 0,
     "maximum": 1000,
     "description": "messages between nodes that later ones overtake"
    }
   }
  },
  "machine_list_lag_s": {
   "type": "number",
   "minimum": 0,
   "maximum": 3600,
   "description": "age of what the machine list says"
  },
  "idle_lease_s": {
   "type": "number",
   "minimum": 1,
   "maximum": 86400,
   "description": "after so long without a call a program is closed"
  },
  "workload": {
   "type": "object",
   "additionalProperties": false,
   "properties": {
    "programs": {
     "type": "integer",
     "minimum": 1,
     "maximum": 10000,
     "description": "programs in the run"
    },
    "start_within_s": {
     "type": "number",
     "minimum": 0,
     "maximum": 86400,
     "description": "programs start at random moments in this time"
    },
    "minimum_steps": {
     "type": "integer",
     "minimum": 1,
     "maximum": 1000,
     "description": "calls, tools and sub-agents of one program"
    },
    "maximum_steps": {
     "type": "integer",
     "minimum": 1,
     "maximum": 1000,
     "description": "calls, tools and sub-agents of one program"
    },
    "answer_tokens": {
     "type": "integer",
     "minimum": 12,
     "maximum": 4000,
     "description": "mean length of an answer"
    },
    "maximum_tokens": {
     "type": "integer",
     "minimum": 12,
     "maximum": 8000,
     "description": "max_tokens of each call"
    },
    "tool_ms": {
     "type": "integer",
     "minimum": 1,
     "maximum": 3600000,
     "description": "mean time of a tool"
    },
    "tool_timeout_s": {
     "type": "number",
     "minimum": 0.1,
     "maximum": 3600,
     "description": "after it the caller goes on without the tool's result"
    },
    "caller_timeout_s": {
     "type": "number",
     "minimum": 0.1,
     "maximum": 3600,
     "description": "after it a caller asks another node"
    },
    "call_time_limit_s": {
     "type": "number",
     "minimum": 0.1,
     "maximum": 3600,
     "description": "time limit that calls name"
    },
    "keep_asking_s": {
     "type": "number",
     "minimum": 0.1,
     "maximum": 86400,
     "description": "how long a caller repeats one request"
    },
    "think_ms": {
     "type": "integer",
     "minimum": 0,
     "maximum": 3600000,
     "description": "mean pause between steps"
    },
    "tool_per_mille": {
     "type": "integer",
     "minimum": 0,
     "maximum": 1000,
     "description": "steps that a tool follows"
    },
    "sub_agent_per_mille": {
     "type": "integer",
     "minimum": 0,
     "maximum": 1000,
     "description": "steps that start a sub-agent"
    },
    "application_per_mille": {
     "type": "integer",
     "minimum": 0,
     "maximum": 1000,
     "description": "steps that send a non-repeatable application request"
    },
    "stream_per_mille": {
     "type": "integer",
     "minimum": 0,
     "maximum": 1000,
     "description": "calls that ask for a stream"
    },
    "looping_per_mille": {
     "type": "integer",
     "minimum": 0,
     "maximum": 1000,
     "description": "programs that never end by themselves"
    },
    "keep_programs_open": {
     "type": "boolean",
     "description": "callers do not close their programs"
    }
   }
  },
  "budget": {
   "type": "object",
   "additionalProperties": false,
   "properties": {
    "calls": {
     "type": "integer",
     "minimum": 1,
     "maximum": 100000,
     "description": "calls a program"
    },
    "tokens": {
     "type": "integer",
     "minimum": 1,
     "maximum": 100000000,
     "description": "tokens a program"
    },
    "seconds": {
     "type": "integer",
     "minimum": 1,
     "maximum": 1000000,
     "description": "seconds of work a program"
    }
   }
  },
  "faults": {
   "type": "array",
   "maxItems": 1000,
   "items": {
    "type": "object",
    "additionalProperties": false,
    "required": [
     "at_s",
     "kind"
    ],
    "properties": {
     "at_s": {
      "type": "number",
      "minimum": 0,
      "maximum": 86400,
      "description": "virtual moment"
     },
     "for_s": {
      "type": "number",
      "minimum": 0,
      "maximum": 86400,
      "description": "how long it lasts; without it, to the end"
     },
     "kind": {
      "enum": [
       "kill_node",
       "pause_node",
       "stop_node",
       "partition_zone",
       "lose_zone",
       "log_down",
       "log_slow",
       "log_lose_answers",
       "kill_callers",
       "pause_callers",
       "hang_tools",
       "hang_engines",
       "refuse_at_back_end",
       "break_streams",
       "lose_application_answers",
       "leave_back_end",
       "serve_back_end",
       "publish_bundle",
       "race_bundles",
       "network"
      ]
     },
     "node": {
      "type": "integer",
      "minimum": 1,
      "maximum": 1600,
      "description": "node of kill_node, pause_node, stop_node"
     },
     "zone": {
      "type": "string",
      "description": "zone of partition_zone, lose_zone; of kill_callers and pause_callers if given"
     },
     "back_end": {
      "type": "string",
      "description": "`engine-ZONE-N` or `application-ZONE-N`"
     },
     "per_mille": {
      "type": "integer",
      "minimum": 0,
      "maximum": 1000,
      "description": "callers, engines or tools hit; of all that the fault could hit"
     },
     "count": {
      "type": "integer",
      "minimum": 1,
      "maximum": 100000,
      "description": "requests that refuse_at_back_end refuses, break_streams breaks, lose_application_answers loses"
     },
     "restart_after_s": {
      "type": "number",
      "minimum": 0,
      "maximum": 86400,
      "description": "a killed or stopped node, or each node of a lost zone, or a killed caller, is replaced after this time"
     },
     "network": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
       "loss_per_mille": {
        "type": "integer",
        "minimum": 0,
        "maximum": 1000,
        "description": "messages between nodes lost"
       },
       "duplicate_per_mille": {
        "type": "integer",
        "minimum": 0,
        "maximum": 1000,
        "description": "messages between nodes delivered twice"
       },
       "reorder_per_mille": {
        "type": "integer",
        "minimum": 0,
        "maximum": 1000,
        "description": "messages between nodes that later ones overtake"
       }
      }
     }
    }
   }
  },
  "expect": {
   "type": "object",
   "additionalProperties": false,
   "properties": {
    "completed_programs_per_mille": {
     "type": "integer",
     "minimum": 0,
     "maximum": 1000,
     "description": "programs that end as planned, at least"
    },
    "minimum_takeovers": {
     "type": "integer",
     "minimum": 0,
     "maximum": 100000,
     "description": "calls that another node than the program's first one completed, at least"
    }
   }
  }
 }
}
)schema";
  // clang-format on
}

}  // namespace gorsetrail::sim
