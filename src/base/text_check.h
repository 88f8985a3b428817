/// \file Check of names that other programs wrote.
#pragma once

#include <cstddef>
#include <string_view>

namespace gorsetrail {

/// The longest name of a replica, service, zone or node: a key in the store has at most this many
/// bytes, its length is one byte.
inline constexpr std::size_t kMaximumNameBytes = 255;

/// \return whether the text may be a name: not empty, not too long, UTF-8 without control
/// characters. Names go into HTTP headers, log lines and metrics, where a line break in one would
/// be read as something else.
bool isName(std::string_view text);

}  // namespace gorsetrail
