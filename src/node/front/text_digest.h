/// \file Running digest of a text that is not kept.
#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

struct XXH64_state_s;

namespace gorsetrail::node {

/// Tells whether a later text begins with the one that was added part by part. 64 bits guard
/// against a fault of this program, not against an attacker.
class TextDigest {
 public:
  TextDigest();
  void add(std::string_view part);
  [[nodiscard]] std::size_t bytes() const { return bytes_; }
  [[nodiscard]] bool isBeginningOf(std::string_view text) const;

 private:
  struct FreeState {
    void operator()(XXH64_state_s* state) const;
  };
  std::unique_ptr<XXH64_state_s, FreeState> state_;
  std::size_t bytes_ = 0;
};

}  // namespace gorsetrail::node
