/// \file Name of a growing text's longest prefix of full blocks, in constant memory.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "scheduling/prefix_chain.h"

namespace gorsetrail::engine {

/// Gives the last name that `scheduling::prefixChainOf` would give for all text appended so far.
class PrefixCursor {
 public:
  /// \param blockTokens tokens of an engine's cache block; above 0.
  explicit PrefixCursor(std::uint32_t blockTokens)
      : blockCharacters_(std::size_t{blockTokens} * scheduling::kCharactersPerToken) {}

  void append(std::string_view text);
  /// \return the name; 0 while no block is full.
  [[nodiscard]] scheduling::PrefixHash last() const { return last_; }

 private:
  std::size_t blockCharacters_;
  scheduling::PrefixHash last_;
  std::string tail_;  ///< Less than a block.
};

}  // namespace gorsetrail::engine
