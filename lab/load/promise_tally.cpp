#include "lab/load/promise_tally.h"

namespace gorsetrail::load {
namespace {

constexpr std::array<std::string_view, kPromiseCount> kNames = {
    "order",           "history",      "budget",           "engine_memory", "whole_answer",
    "not_run_is_true", "at_most_once", "leaving_back_end", "planned_stop",  "bundle_in_force"};

std::size_t indexOf(Promise promise) { return static_cast<std::size_t>(promise); }

}  // namespace

std::string_view promiseName(Promise promise) { return kNames[indexOf(promise)]; }

void PromiseTally::check(Promise promise, bool holds, const std::string& text) {
  Count& count = counts_[indexOf(promise)];
  ++count.checks;
  if (holds) {
    return;
  }
  ++count.violations;
  if (texts_.size() < kMaximumViolationTexts) {
    texts_.push_back({promise, text});
  }
}

std::uint64_t PromiseTally::checks(Promise promise) const {
  return counts_[indexOf(promise)].checks;
}

std::uint64_t PromiseTally::violations(Promise promise) const {
  return counts_[indexOf(promise)].violations;
}

std::uint64_t PromiseTally::totalViolations() const {
  std::uint64_t total = 0;
  for (const Count& count : counts_) {
    total += count.violations;
  }
  return total;
}

}  // namespace gorsetrail::load
