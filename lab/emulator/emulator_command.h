/// \file Subcommands `emulate` and `compare` of `gorsetrail-lab`.
#pragma once

#include "lab/command.h"

namespace gorsetrail::emulator {

/// Adds the subcommands of this folder.
void addCommands(lab::CommandRegistry& registry);

}  // namespace gorsetrail::emulator
