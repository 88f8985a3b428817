#include "quota/return_line.h"

#include <algorithm>

namespace gorsetrail::quota {

bool ReturnLine::reserve(std::uint64_t program, Instant readyAt) {
  if (places_.size() >= mostPlaces_) {
    return false;
  }
  places_.push_back({program, readyAt});
  return true;
}

bool ReturnLine::claim(std::uint64_t program, Instant now) {
  const auto place = std::find_if(
      places_.begin(), places_.end(),
      [program, now](const Place& kept) { return kept.program == program && kept.readyAt <= now; });
  if (place == places_.end()) {
    return false;
  }
  places_.erase(place);
  return true;
}

std::size_t ReturnLine::dropLapsed(Instant now) {
  return std::erase_if(places_,
                       [this, now](const Place& kept) { return now - kept.readyAt >= grace_; });
}

}  // namespace gorsetrail::quota
