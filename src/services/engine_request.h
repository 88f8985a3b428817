/// \file The body of a request to an engine, made from a caller's.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace gorsetrail::services {

/// What the node decides in the body of a request to an engine.
struct EngineFields {
  std::string model;
  std::string adapter;  ///< Empty: none, whatever the caller wrote.
};

/// \return the caller's JSON object with `model`, `adapter` and `stream` (always true) replaced and
/// every other member byte for byte as the caller wrote it; nothing when `body` is no JSON object.
std::optional<std::string> makeEngineBody(std::string_view body, const EngineFields& fields);

}  // namespace gorsetrail::services
