#include "routing/locality.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::routing {

ZoneTable::ZoneTable(RegionOfZone regionOfZone) : regionOfZone_(std::move(regionOfZone)) {
  for (const auto& [zone, region] : regionOfZone_) {
    regions_.insert(region);
  }
}

std::string_view ZoneTable::regionOf(std::string_view zone) const {
  const auto found = regionOfZone_.find(zone);
  return found == regionOfZone_.end() ? std::string_view() : std::string_view(found->second);
}

Distance ZoneTable::between(std::string_view one, std::string_view other) const {
  if (one == other) {
    return Distance::SameZone;
  }
  if (!hasSeveralRegions()) {
    return Distance::SameRegion;
  }
  const std::string_view region = regionOf(one);
  return !region.empty() && region == regionOf(other) ? Distance::SameRegion
                                                      : Distance::OtherRegion;
}

bool ZoneTable::isIn(std::string_view zone, const RegionSet& regions) const {
  const std::string_view region = regionOf(zone);
  return !region.empty() && regions.contains(region);
}

std::vector<std::string> ZoneTable::zonesOf(const RegionSet& regions, std::string_view from) const {
  std::vector<std::string> zones;
  for (const auto& [zone, region] : regionOfZone_) {
    if (regions.contains(region)) {
      zones.push_back(zone);
    }
  }
  std::stable_sort(zones.begin(), zones.end(),
                   [&](const std::string& left, const std::string& right) {
                     return between(from, left) < between(from, right);
                   });
  return zones;
}

}  // namespace gorsetrail::routing
