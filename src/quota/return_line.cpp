#include "quota/return_line.h"

#include <algorithm>

namespace gorsetrail::quota {

bool ReturnLine::reserve(const ReturnPlace& place) {
  if (places_.size() >= mostPlaces_) {
    return false;
  }
  places_.push_back(place);
  return true;
}

std::optional<ReturnPlace> ReturnLine::take(std::uint64_t program, Instant now) {
  auto first = places_.end();
  for (auto place = places_.begin(); place != places_.end(); ++place) {
    const bool isExpected = place->program == program && place->expectedAt <= now;
    if (isExpected && (first == places_.end() || place->readyAt < first->readyAt)) {
      first = place;
    }
  }
  if (first == places_.end()) {
    return std::nullopt;
  }
  const ReturnPlace taken = *first;
  places_.erase(first);
  return taken;
}

std::size_t ReturnLine::dropLapsed(Instant now) {
  return std::erase_if(
      places_, [this, now](const ReturnPlace& place) { return now - place.expectedAt >= grace_; });
}

std::size_t ReturnLine::sizeBefore(Instant readyAt) const {
  return static_cast<std::size_t>(
      std::count_if(places_.begin(), places_.end(),
                    [readyAt](const ReturnPlace& place) { return place.readyAt < readyAt; }));
}

}  // namespace gorsetrail::quota
