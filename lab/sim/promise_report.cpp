#include "lab/sim/promise_report.h"

#include <numeric>

namespace gorsetrail::sim {
namespace {

constexpr std::array<std::string_view, kPromiseCount> kNames = {
    "call_order",   "history",          "budget",       "engine_memory", "whole_answer", "not_run",
    "at_most_once", "leaving_back_end", "planned_stop", "bundle",        "outcome"};

std::size_t indexOf(Promise promise) { return static_cast<std::size_t>(promise); }

}  // namespace

std::string_view promiseName(Promise promise) { return kNames[indexOf(promise)]; }

bool PromiseReport::check(Promise promise, bool holds, Instant at, const std::string& text) {
  ++checks_[indexOf(promise)];
  if (holds) {
    return true;
  }
  if (++broken_[indexOf(promise)] <= kKeptPerPromise) {
    kept_.push_back({promise, at, text});
  }
  return false;
}

std::uint64_t PromiseReport::checks(Promise promise) const { return checks_[indexOf(promise)]; }

std::uint64_t PromiseReport::violationCount(Promise promise) const {
  return broken_[indexOf(promise)];
}

std::uint64_t PromiseReport::totalViolations() const {
  return std::accumulate(broken_.begin(), broken_.end(), std::uint64_t{0});
}

}  // namespace gorsetrail::sim
