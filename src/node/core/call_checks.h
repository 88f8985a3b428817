/// \file Checks a call against the bundle in force.
#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "bundle/bundle.h"
#include "engine/call_interface.h"
#include "engine/call_machine.h"
#include "program/program_service.h"

namespace gorsetrail::node {

/// A call that the bundle allows, with all that later steps need of it.
struct CheckedCall {
  engine::CallPlan plan;
  program::CallAdmission admission;
  std::string work;
  std::uint64_t reservedTokens = 0;  ///< Worst case; settled when the call ended.
};

/// \return the call as the bundle has it, or why not: `UnknownTenant`, `UnknownModel`,
/// `WorkNotAllowed`, `MissingField`, `InvalidField`. Nothing was dispatched then.
Result<CheckedCall> checkCall(engine::CallRequest request, const bundle::Bundle& bundle,
                              Instant now);

}  // namespace gorsetrail::node
