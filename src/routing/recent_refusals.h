/// \file Programs that admission refused a moment ago. No I/O; time is handed in.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "base/time.h"

namespace gorsetrail::routing {

/// Knobs of `RecentRefusals`.
struct RecentRefusalsKnobs {
  /// A refused program asks again every 0.3 s on average, at any of a zone's eight or more nodes:
  /// one node sees it each 2.4 s and more.
  Duration lifetime = seconds(5);
  /// Some 100 bytes each. A node that refuses 200 programs a second forgets the oldest in time.
  std::size_t mostPrograms = 1000;
};

/// Remembers which programs were refused, so that none is refused again and again.
class RecentRefusals {
 public:
  explicit RecentRefusals(RecentRefusalsKnobs knobs) : knobs_(knobs) {}

  void note(const std::string& program, Instant now);
  [[nodiscard]] bool contains(const std::string& program, Instant now) const;
  [[nodiscard]] std::size_t size() const { return refusedAt_.size(); }

 private:
  struct Noted {
    std::string program;
    Instant at;
  };
  void forgetOld(Instant now);

  RecentRefusalsKnobs knobs_;
  std::unordered_map<std::string, Instant> refusedAt_;
  std::deque<Noted> order_;  ///< Oldest first; a program stands once for each refusal.
};

}  // namespace gorsetrail::routing
