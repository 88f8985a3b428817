/// \file Parses a command line and runs its command.
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "cli/exit_code.h"
#include "cli/http_exchange.h"
#include "cli/publisher.h"

namespace gorsetrail::cli {

/// \param arguments without the program's name.
ExitCode run(const std::vector<std::string>& arguments, HttpExchange& http, const Pause& pause,
             std::ostream& out, std::ostream& err);

}  // namespace gorsetrail::cli
