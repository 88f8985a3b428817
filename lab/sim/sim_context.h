/// \file What every part of one simulated run shares.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "lab/sim/event_queue.h"
#include "lab/sim/network.h"
#include "lab/sim/promise_checker.h"
#include "lab/sim/promise_report.h"
#include "lab/sim/scenario.h"

namespace gorsetrail::sim {

/// Digest over the outcomes that callers saw, in order of virtual time.
class OutcomeDigest {
 public:
  void add(Instant at, std::string_view text) {
    const std::int64_t moment = at.time_since_epoch().count();
    value_ = XXH64(&moment, sizeof(moment), value_);
    value_ = XXH64(text.data(), text.size(), value_);
  }
  [[nodiscard]] std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0;
};

/// Numbers of a run; names carry their unit.
class Figures {
 public:
  void count(const std::string& name, std::uint64_t by = 1) {
    values_[name] += static_cast<double>(by);
  }
  void set(const std::string& name, double value) { values_[name] = value; }
  [[nodiscard]] double at(const std::string& name) const {
    const auto found = values_.find(name);
    return found == values_.end() ? 0.0 : found->second;
  }
  [[nodiscard]] const std::map<std::string, double>& values() const { return values_; }

 private:
  std::map<std::string, double> values_;
};

/// Shared by reference; outlives every part.
struct SimContext {
  SimContext(Scenario runScenario, std::uint64_t runSeed);

  Scenario scenario;
  std::uint64_t seed;
  EventQueue events;
  RandomSource random;
  SimNetwork network;
  PromiseReport report;
  PromiseChecker checker;
  OutcomeDigest digest;
  Figures figures;
  std::vector<double> programLatenciesMs;
  std::map<std::string, std::string> programNames;  ///< By program id in hexadecimal digits.
  std::string tracedProgram;  ///< Its requests are written to standard error; empty for none.

  [[nodiscard]] Instant now() const { return events.now(); }
  /// \return an exponentially distributed span, cut at ten times the mean.
  Duration exponential(Duration mean);
  /// Writes one line for a reader of the run, if the program is the traced one.
  void trace(const std::string& program, const std::string& text) const;
  bool happens(std::uint32_t perMille) { return random.below(1000) < perMille; }
};

}  // namespace gorsetrail::sim
