/// \file Texts of `--help`.
#pragma once

#include <string>

#include "cli/command.h"

namespace gorsetrail::cli {

/// \return the list of commands and exit codes.
std::string generalHelp();
/// \return usage, flags and an example of one command.
std::string commandHelp(const Command& command);

}  // namespace gorsetrail::cli
