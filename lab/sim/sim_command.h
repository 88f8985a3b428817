/// \file Subcommands `run`, `list`, `mutants` and `soak` of `gorsetrail-lab`.
#pragma once

#include "lab/command.h"

namespace gorsetrail::sim {

/// Adds the subcommands of this folder.
void addCommands(lab::CommandRegistry& registry);

}  // namespace gorsetrail::sim
