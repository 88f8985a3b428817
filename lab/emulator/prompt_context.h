/// \file A program's growing prompt as a chain of prefix names, without any text.
#pragma once

#include <cstdint>
#include <vector>

#include "scheduling/prefix_index.h"

namespace gorsetrail::emulator {

/// Distance between the marks that nodes index, in tokens.
inline constexpr std::uint32_t kMarkIntervalTokens = 2048;

/// Prompts with the same parts at the same place have the same names.
class PromptContext {
 public:
  explicit PromptContext(std::uint32_t blockTokens) : blockTokens_(blockTokens) {}

  /// Adds a part. \param contentId names its content: equal ids, equal content.
  void append(std::uint64_t contentId, std::uint32_t tokens);

  [[nodiscard]] std::uint32_t tokens() const { return tokens_; }
  /// \return names of all prefixes that end at a full block.
  [[nodiscard]] const std::vector<scheduling::PrefixHash>& chain() const { return chain_; }
  /// \return the prefixes worth indexing: every `kMarkIntervalTokens`, and the last full block.
  [[nodiscard]] std::vector<scheduling::PrefixMark> marks() const;

 private:
  std::uint32_t blockTokens_;
  std::uint32_t tokens_ = 0;
  std::uint32_t pendingTokens_ = 0;
  std::uint64_t pendingContent_ = 0;
  std::vector<scheduling::PrefixHash> chain_;
};

}  // namespace gorsetrail::emulator
