/// \file What only the lab's bounds may know: when each prefix will be used next.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "scheduling/prefix_chain.h"

namespace gorsetrail::emulator {

/// Next use of every prefix, by the true plans of the programs.
class Foresight {
 public:
  static constexpr Instant kNever = Instant::max();

  /// Prefixes of one program; each may have many users.
  void addUser(std::uint32_t program, const std::vector<scheduling::PrefixHash>& chain,
               std::size_t firstBlock);
  /// The program will make its next call at `at` (`kNever`: it ended).
  void setNextCall(std::uint32_t program, Instant at);
  [[nodiscard]] Instant nextUse(scheduling::PrefixHash prefix) const;

 private:
  std::vector<Instant> nextCalls_;
  std::unordered_map<scheduling::PrefixHash, std::vector<std::uint32_t>> users_;
};

}  // namespace gorsetrail::emulator
