/// \file Subcommand `standin`: stand-ins for the platform and the back ends on loopback.
#pragma once

#include "lab/command.h"

namespace gorsetrail::standin {

/// Adds the subcommands of this folder.
void addCommands(lab::CommandRegistry& registry);

}  // namespace gorsetrail::standin
