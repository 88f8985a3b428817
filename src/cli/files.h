/// \file Reads and writes bundle, envelope and key files.
#pragma once

#include <cstdint>
#include <string>

#include "base/result.h"

namespace gorsetrail::cli {

/// Read permission of a written file.
enum class FileAccess : std::uint8_t { Everybody, OwnerOnly };

/// Behaviour when the file already exists.
enum class Existing : std::uint8_t { Keep, Replace };

/// \return the file's bytes, or `InvalidField` (missing, unreadable or longer than 8 MiB).
Result<std::string> readFile(const std::string& path);

/// Writes the file. Replacing is atomic: a temporary file is renamed over the old one.
/// \return `InvalidField` when the file exists and `existing` is `Keep`, or when writing fails.
Result<Success> writeFile(const std::string& path, const std::string& bytes, FileAccess access,
                          Existing existing);

}  // namespace gorsetrail::cli
