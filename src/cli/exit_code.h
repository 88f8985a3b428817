/// \file Exit codes of `gorsetrail`; documented in docs/operators/bundle.md.
#pragma once

#include <cstdint>

#include "base/error.h"

namespace gorsetrail::cli {

enum class ExitCode : std::uint8_t {
  Done = 0,
  Refused = 1,              ///< Refused or failed.
  BadInput = 2,             ///< Wrong usage, or an invalid file.
  PlatformUnavailable = 3,  ///< Log or nodes unavailable; a sent request may still take effect.
  Conflict = 4,             ///< Another operator's version was accepted first.
};

/// \return the exit code that an error leads to.
ExitCode exitCodeOf(ErrorKind kind);

}  // namespace gorsetrail::cli
