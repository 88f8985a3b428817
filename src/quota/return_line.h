/// \file Refused requests of one tenant that were told when their token will be there. No I/O, no
/// clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"

namespace gorsetrail::quota {

/// The line of callers that come back at a moment of their own. Load pattern: the programs of a
/// tenant together reach its limit for seconds; those refused return together, meet newcomers and
/// are refused again until their tries are used up. A place in the line is a promise of one token:
/// nobody else is granted it until the place lapses. Places are no tokens: a token counts as
/// granted when it is used, so the line can't exceed a limit.
class ReturnLine {
 public:
  /// \param grace how long after its moment a place is kept. \param mostPlaces at one time.
  ReturnLine(Duration grace, std::size_t mostPlaces) : grace_(grace), mostPlaces_(mostPlaces) {}

  /// Keeps a token for a program from `readyAt` on. \return false when the line is full.
  bool reserve(std::uint64_t program, Instant readyAt);
  /// A program has come back. \return whether it had a place whose moment has come; it is taken.
  bool claim(std::uint64_t program, Instant now);
  /// Drops the places whose programs did not come back in time. \return how many.
  std::size_t dropLapsed(Instant now);
  /// \return how many tokens are kept.
  [[nodiscard]] std::size_t size() const { return places_.size(); }

 private:
  struct Place {
    std::uint64_t program = 0;
    Instant readyAt;
  };

  Duration grace_;
  std::size_t mostPlaces_;
  std::vector<Place> places_;  ///< In the order in which they were reserved.
};

}  // namespace gorsetrail::quota
