#include "lab/emulator/foresight.h"

#include <algorithm>

namespace gorsetrail::emulator {

void Foresight::addUser(std::uint32_t program, const std::vector<scheduling::PrefixHash>& chain,
                        std::size_t firstBlock) {
  for (std::size_t index = firstBlock; index < chain.size(); ++index) {
    users_[chain[index]].push_back(program);
  }
}

void Foresight::setNextCall(std::uint32_t program, Instant at) {
  if (program >= nextCalls_.size()) {
    nextCalls_.resize(program + 1U, kNever);
  }
  nextCalls_[program] = at;
}

Instant Foresight::nextUse(scheduling::PrefixHash prefix) const {
  const auto found = users_.find(prefix);
  if (found == users_.end()) {
    return kNever;
  }
  Instant next = kNever;
  for (const std::uint32_t program : found->second) {
    next = std::min(next, nextCalls_[program]);
  }
  return next;
}

}  // namespace gorsetrail::emulator
