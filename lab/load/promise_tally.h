/// \file Counts of checks and violations for each promise.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gorsetrail::load {

/// The promises of the product, in the order of its users' page.
enum class Promise : std::uint8_t {
  Order,
  History,
  Budget,
  EngineMemory,
  WholeAnswer,
  NotRunIsTrue,
  AtMostOnce,
  Leaving,
  PlannedStop,
  BundleInForce,
};
inline constexpr std::size_t kPromiseCount = 10;

/// \return the stable snake_case name of a promise.
std::string_view promiseName(Promise promise);

struct Violation {
  Promise promise = Promise::Order;
  std::string text;
};

/// Most violations kept with their text; all are counted.
inline constexpr std::size_t kMaximumViolationTexts = 50;

class PromiseTally {
 public:
  /// Counts one check; one that does not hold is a violation, described by `text`.
  void check(Promise promise, bool holds, const std::string& text);

  [[nodiscard]] std::uint64_t checks(Promise promise) const;
  [[nodiscard]] std::uint64_t violations(Promise promise) const;
  [[nodiscard]] std::uint64_t totalViolations() const;
  [[nodiscard]] const std::vector<Violation>& texts() const { return texts_; }

 private:
  struct Count {
    std::uint64_t checks = 0;
    std::uint64_t violations = 0;
  };
  std::array<Count, kPromiseCount> counts_{};
  std::vector<Violation> texts_;
};

}  // namespace gorsetrail::load
