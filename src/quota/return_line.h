/// \file Refused requests of one tenant that were told when their token will be there. No I/O, no
/// clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"

namespace gorsetrail::quota {

/// A token that is kept for a program.
struct ReturnPlace {
  std::uint64_t program = 0;
  Instant expectedAt;  ///< When its caller was told to come back.
  Instant readyAt;     ///< When the token is made: then, or later.
};

/// The line of callers that come back at a moment of their own. Load pattern: the programs of a
/// tenant together reach its limit for seconds; those refused return together, meet newcomers and
/// are refused again until their tries are used up. A place in the line is a promise of one token:
/// nobody else is granted it until the place lapses. Places are no tokens: a token counts as
/// granted when it is used, so the line can't exceed a limit.
class ReturnLine {
 public:
  /// \param grace how long a place is kept for a caller that is expected. \param mostPlaces at one
  /// time.
  ReturnLine(Duration grace, std::size_t mostPlaces) : grace_(grace), mostPlaces_(mostPlaces) {}

  /// Keeps a token for a program. \return false when the line is full.
  bool reserve(const ReturnPlace& place);
  /// A program has come back. \return its place that was to be used first, now out of the line;
  /// nothing when none of its callers is expected yet: another request of the same program.
  std::optional<ReturnPlace> take(std::uint64_t program, Instant now);
  /// Drops the places whose programs did not come back in time. \return how many.
  std::size_t dropLapsed(Instant now);
  /// \return how many tokens are kept.
  [[nodiscard]] std::size_t size() const { return places_.size(); }
  /// \return how many of them are made before that moment.
  [[nodiscard]] std::size_t sizeBefore(Instant readyAt) const;

 private:
  Duration grace_;
  std::size_t mostPlaces_;
  std::vector<ReturnPlace> places_;  ///< In the order in which they were reserved.
};

}  // namespace gorsetrail::quota
