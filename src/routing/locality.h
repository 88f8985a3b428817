/// \file Network distance between zones, by zone and region. Policy only: no I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gorsetrail::routing {

/// Region names.
using RegionSet = std::set<std::string, std::less<>>;

/// Distance between two zones, ordered from nearest to farthest.
enum class Distance : std::uint8_t {
  SameZone,
  SameRegion,
  OtherRegion,
};

/// Maps the zones of a deployment to regions, from the settings. Distances are configured rather
/// than measured, so that all nodes agree on them and therefore on the coordinator of each key.
class ZoneTable {
 public:
  using RegionOfZone = std::map<std::string, std::string, std::less<>>;

  /// An empty table: no zone is in another region.
  ZoneTable() = default;
  explicit ZoneTable(RegionOfZone regionOfZone);

  /// \return the zone's region; empty for a zone that is not in the table.
  [[nodiscard]] std::string_view regionOf(std::string_view zone) const;
  [[nodiscard]] bool hasRegion(std::string_view region) const { return regions_.contains(region); }
  [[nodiscard]] bool hasSeveralRegions() const { return regions_.size() > 1; }
  [[nodiscard]] const RegionSet& regions() const { return regions_; }
  /// In a table with several regions, a zone that is not listed counts as a region of its own.
  [[nodiscard]] Distance between(std::string_view one, std::string_view other) const;
  /// \return whether the zone's region is among `regions`; false for a zone that is not listed.
  [[nodiscard]] bool isIn(std::string_view zone, const RegionSet& regions) const;
  /// \return the zones of these regions, ordered by distance from `from`, then by name.
  [[nodiscard]] std::vector<std::string> zonesOf(const RegionSet& regions,
                                                 std::string_view from) const;

 private:
  RegionOfZone regionOfZone_;
  RegionSet regions_;
};

}  // namespace gorsetrail::routing
