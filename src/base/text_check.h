/// \file Validates names received from other programs.
#pragma once

#include <cstddef>
#include <string_view>

namespace gorsetrail {

/// Maximum length of the name of a replica, service, zone or node. Keys in the log store have the
/// same limit, because their length is encoded in one byte.
inline constexpr std::size_t kMaximumNameBytes = 255;

/// Control characters are rejected, because a line break in a name could inject HTTP headers, log
/// lines or metrics.
/// \return whether `text` is a valid name: not empty, not too long, valid UTF-8 without control
/// characters.
bool isName(std::string_view text);

}  // namespace gorsetrail
