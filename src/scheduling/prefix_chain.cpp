#include "scheduling/prefix_chain.h"

#include <xxhash.h>

#include <cstddef>

namespace gorsetrail::scheduling {

std::uint32_t estimatedTokens(std::string_view text) {
  return static_cast<std::uint32_t>((text.size() + kCharactersPerToken - 1) / kCharactersPerToken);
}

PrefixHash extendPrefix(PrefixHash parent, std::string_view block) {
  return PrefixHash(XXH64(block.data(), block.size(), parent.value()));
}

PrefixHash extendPrefix(PrefixHash parent, std::uint64_t blockContentHash) {
  return PrefixHash(XXH64(&blockContentHash, sizeof(blockContentHash), parent.value()));
}

std::vector<PrefixHash> prefixChainOf(std::string_view text, std::uint32_t blockTokens) {
  const std::size_t blockCharacters = std::size_t{blockTokens} * kCharactersPerToken;
  std::vector<PrefixHash> chain;
  chain.reserve(text.size() / blockCharacters);
  PrefixHash last;
  for (std::size_t start = 0; start + blockCharacters <= text.size(); start += blockCharacters) {
    last = extendPrefix(last, text.substr(start, blockCharacters));
    chain.push_back(last);
  }
  return chain;
}

std::string prefixHashToHex(PrefixHash prefix) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text(16, '0');
  for (std::size_t digit = 0; digit < text.size(); ++digit) {
    const unsigned shift = static_cast<unsigned>(60 - 4 * digit);
    text[digit] = kDigits[(prefix.value() >> shift) & 15U];
  }
  return text;
}

}  // namespace gorsetrail::scheduling
