#include "lab/emulator/prompt_context.h"

#include <algorithm>

#include "lab/emulator/program_plan.h"

namespace gorsetrail::emulator {

void PromptContext::append(std::uint64_t contentId, std::uint32_t tokens) {
  std::uint32_t offset = 0;
  while (offset < tokens) {
    const std::uint32_t taken = std::min(tokens - offset, blockTokens_ - pendingTokens_);
    pendingContent_ = streamSeed(pendingContent_ ^ contentId, offset);
    pendingTokens_ += taken;
    offset += taken;
    if (pendingTokens_ < blockTokens_) {
      continue;
    }
    const auto parent = chain_.empty() ? scheduling::PrefixHash() : chain_.back();
    chain_.push_back(scheduling::extendPrefix(parent, pendingContent_));
    pendingContent_ = 0;
    pendingTokens_ = 0;
  }
  tokens_ += tokens;
}

std::vector<scheduling::PrefixMark> PromptContext::marks() const {
  std::vector<scheduling::PrefixMark> result;
  const std::size_t interval = std::max(1U, kMarkIntervalTokens / blockTokens_);
  for (std::size_t depth = 1; depth <= chain_.size(); ++depth) {
    if (depth % interval == 0 || depth == chain_.size()) {
      result.push_back({chain_[depth - 1], static_cast<std::uint32_t>(depth) * blockTokens_});
    }
  }
  return result;
}

}  // namespace gorsetrail::emulator
