/// \file Subcommand `load`: drives programs against the nodes and checks the promises.
#pragma once

#include "lab/command.h"

namespace gorsetrail::load {

/// Adds the subcommands of this folder.
void addCommands(lab::CommandRegistry& registry);

}  // namespace gorsetrail::load
