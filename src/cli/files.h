/// \file Small files of the operators: bundles, envelopes, keys.
#pragma once

#include <cstdint>
#include <string>

#include "base/result.h"

namespace gorsetrail::cli {

/// Who may read a file that is written.
enum class FileAccess : std::uint8_t { Everybody, OwnerOnly };

/// What to do when the file exists.
enum class Existing : std::uint8_t { Keep, Replace };

/// \return the file's bytes, or `InvalidField` (missing, unreadable or longer than 8 MiB).
Result<std::string> readFile(const std::string& path);

/// Writes the whole file or leaves what was there: a new file takes its place in one step.
/// \return `InvalidField` when it exists and is to be kept, or cannot be written.
Result<Success> writeFile(const std::string& path, const std::string& bytes, FileAccess access,
                          Existing existing);

}  // namespace gorsetrail::cli
