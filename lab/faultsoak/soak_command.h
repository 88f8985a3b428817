/// \file Subcommand `fault-soak` of `gorsetrail-lab`.
#pragma once

#include "lab/command.h"

namespace gorsetrail::lab {

/// Adds the subcommand. `tools/fault_soak.sh` starts the node processes for it.
void addFaultSoakCommand(CommandRegistry& registry);

}  // namespace gorsetrail::lab
