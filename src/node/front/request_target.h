/// \file The path and query of a request's target.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gorsetrail::node {

struct QueryParameter {
  std::string name;
  std::string value;
};

struct RequestTarget {
  std::string path;  ///< Decoded.
  std::vector<QueryParameter> query;

  /// \return the value of the first parameter of that name; nothing when there is none.
  [[nodiscard]] std::optional<std::string> parameter(std::string_view name) const;
};

/// \return the decoded parts; nothing when a percent escape is wrong.
std::optional<RequestTarget> parseTarget(std::string_view target);

}  // namespace gorsetrail::node
