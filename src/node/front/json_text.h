/// \file JSON text without a document model, for the path of every token.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace gorsetrail::node {

/// Appends `text` as a JSON string, quotes included. `text` is valid UTF-8.
void appendJsonString(std::string& out, std::string_view text);

/// \return whether brackets nest deeper than `limit`. Parsers and printers of JSON recurse, so a
/// body of nothing but brackets could exhaust the stack: it is refused before it is parsed.
bool nestsDeeperThan(std::string_view json, std::size_t limit);

}  // namespace gorsetrail::node
