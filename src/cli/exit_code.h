/// \file Exit codes of `gorsetrail`; documented in docs/operators/bundle.md.
#pragma once

#include <cstdint>

#include "base/error.h"

namespace gorsetrail::cli {

enum class ExitCode : std::uint8_t {
  Done = 0,
  Refused = 1,              ///< Refused or failed.
  BadInput = 2,             ///< Wrong usage, or a file that is not right.
  PlatformUnavailable = 3,  ///< Log or nodes did not answer; what was asked may still happen.
  Conflict = 4,             ///< Another operator's version won.
};

/// \return the exit code that an error leads to.
ExitCode exitCodeOf(ErrorKind kind);

}  // namespace gorsetrail::cli
