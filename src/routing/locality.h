/// \file How far places are from each other: same zone, same region, another region. Policy only:
/// no I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gorsetrail::routing {

/// Names of regions.
using RegionSet = std::set<std::string, std::less<>>;

/// Distance of two zones, nearest first: the numbers may be compared.
enum class Distance : std::uint8_t {
  SameZone,
  SameRegion,
  OtherRegion,
};

/// The zones of a deployment and the region of each, from the settings. All nodes have the same
/// table, so all come to the same distances; measured times would differ between nodes, and they
/// would disagree on who coordinates what.
class ZoneTable {
 public:
  using RegionOfZone = std::map<std::string, std::string, std::less<>>;

  /// Without an entry nothing is in another region.
  ZoneTable() = default;
  explicit ZoneTable(RegionOfZone regionOfZone);

  /// \return the zone's region; empty for a zone that is not in the table.
  [[nodiscard]] std::string_view regionOf(std::string_view zone) const;
  [[nodiscard]] bool hasRegion(std::string_view region) const { return regions_.contains(region); }
  [[nodiscard]] bool hasSeveralRegions() const { return regions_.size() > 1; }
  [[nodiscard]] const RegionSet& regions() const { return regions_; }
  /// Zones that are not in the table are in a region of their own, where there are several.
  [[nodiscard]] Distance between(std::string_view one, std::string_view other) const;
  /// \return whether the zone lies in one of the regions.
  [[nodiscard]] bool isIn(std::string_view zone, const RegionSet& regions) const;
  /// \return the zones of these regions, nearest to `from` first, then by name.
  [[nodiscard]] std::vector<std::string> zonesOf(const RegionSet& regions,
                                                 std::string_view from) const;

 private:
  RegionOfZone regionOfZone_;
  RegionSet regions_;
};

}  // namespace gorsetrail::routing
