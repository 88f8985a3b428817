/// \file Reads a JSON configuration file and checks it against a JSON Schema (valijson).
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "base/result.h"

namespace gorsetrail::lab {

/// Checks a parsed document against a schema.
/// \param source names the document in errors.
Result<Success> checkDocument(const nlohmann::json& document, std::string_view schemaText,
                              const std::string& source);

/// Checks a text against a schema.
/// \param source names the text in errors (a file name).
/// \return the parsed document, or `InvalidSettings` whose field is the JSON path at fault.
Result<nlohmann::json> checkJson(std::string_view text, std::string_view schemaText,
                                 const std::string& source);

/// Reads and checks a file.
Result<nlohmann::json> readJsonFile(const std::string& path, std::string_view schemaText);

}  // namespace gorsetrail::lab
