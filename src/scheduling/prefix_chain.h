/// \file Names of prompt prefixes: a chain of hashes, one for each full block of tokens.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"

namespace gorsetrail::scheduling {

/// Names all text up to the end of one block; equal names mean equal prefixes.
using PrefixHash = StrongId<struct PrefixHashTag, std::uint64_t>;

/// Characters that count as one token where no tokenizer is at hand.
inline constexpr std::uint32_t kCharactersPerToken = 4;

/// \return the tokens of a text, by `kCharactersPerToken`, rounded up.
std::uint32_t estimatedTokens(std::string_view text);

/// \return the name of the prefix that extends `parent` by one block with the given content.
PrefixHash extendPrefix(PrefixHash parent, std::string_view block);
/// \return the name of the prefix that extends `parent` by a block known by its own hash.
PrefixHash extendPrefix(PrefixHash parent, std::uint64_t blockContentHash);

/// \param blockTokens tokens a block; must be above 0.
/// \return the names of all prefixes of `text` that end at a full block, shortest first.
std::vector<PrefixHash> prefixChainOf(std::string_view text, std::uint32_t blockTokens);

/// \return 16 lower-case hexadecimal digits.
std::string prefixHashToHex(PrefixHash prefix);

}  // namespace gorsetrail::scheduling
