/// \file Names of a program's prefix as engines know it (docs/design/0008).
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "engine/prefix_cursor.h"

namespace gorsetrail::node {

/// Tokens of an engine's cache block.
inline constexpr std::uint32_t kCacheBlockTokens = 16;

/// \param messages the call's JSON array.
/// \return the prefix of model, adapter and messages (without the array's end, so that the next
/// message can follow); nothing when `messages` is no array.
std::optional<engine::PrefixCursor> promptPrefixOf(std::string_view model, std::string_view adapter,
                                                   std::string_view messages);

/// \return the name of the prefix that the program's next call begins with: prompt, then answer.
scheduling::PrefixHash prefixWithAnswer(engine::PrefixCursor prompt, const std::string& answer);

}  // namespace gorsetrail::node
