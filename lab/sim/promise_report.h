/// \file The ten promises of the brief, and how often each was checked and broken.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace gorsetrail::sim {

enum class Promise : std::uint8_t {
  CallOrder,       ///< Calls of one program run in the order the program made them.
  History,         ///< A program's history is never lost and never mixed with another's.
  Budget,          ///< A program's budget holds, even when it loops.
  EngineMemory,    ///< Engine memory held for programs that are gone is freed.
  WholeAnswer,     ///< A caller gets the whole answer to its own request.
  NotRun,          ///< When a caller is told "not run", the request did not run.
  AtMostOnce,      ///< A non-repeatable request runs at most once.
  LeavingBackend,  ///< A leaving back end gets no new work after a few seconds.
  PlannedStop,     ///< A planned stop cuts off no request in flight.
  Bundle,          ///< An accepted bundle is in force everywhere in seconds and never reverts.
  Outcome,         ///< Not a promise: an outcome that the scenario states.
};
inline constexpr std::size_t kPromiseCount = 11;

/// \return the stable name of a promise, such as `at_most_once`.
std::string_view promiseName(Promise promise);

struct Violation {
  Promise promise = Promise::Outcome;
  Instant at;
  std::string text;
};

/// Counts checks and keeps the first violations of each promise.
class PromiseReport {
 public:
  /// Counts one check. \return `holds`.
  bool check(Promise promise, bool holds, Instant at, const std::string& text);
  [[nodiscard]] std::uint64_t checks(Promise promise) const;
  [[nodiscard]] std::uint64_t violationCount(Promise promise) const;
  [[nodiscard]] std::uint64_t totalViolations() const;
  /// \return at most `kKeptPerPromise` of each promise, in order of time.
  [[nodiscard]] const std::vector<Violation>& violations() const { return kept_; }

  static constexpr std::uint64_t kKeptPerPromise = 5;

 private:
  std::array<std::uint64_t, kPromiseCount> checks_{};
  std::array<std::uint64_t, kPromiseCount> broken_{};
  std::vector<Violation> kept_;
};

}  // namespace gorsetrail::sim
