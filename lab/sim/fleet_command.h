/// \file Subcommand `fleet` of `gorsetrail-lab`.
#pragma once

#include "lab/command.h"

namespace gorsetrail::sim {

int fleetCommand(const lab::CommandArguments& arguments);

}  // namespace gorsetrail::sim
