/// \file Which of a fleet's members share a key, without messages. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gorsetrail::routing {

/// A member and how much it carries against others.
struct RingMember {
  std::string name;
  double weight = 1.0;  ///< Not negative.

  [[nodiscard]] bool operator==(const RingMember& other) const = default;
};

/// A hash ring (consistent hashing). Each member stands on it at many points, in proportion to its
/// weight, and carries as much; a key that `count` members share has as many points, and each
/// belongs to the next member behind it. So one list of members gives a key `count` owners at most,
/// and two lists twice as many however they differ. Looking a key up takes the same time in a fleet
/// of any size.
class MemberRing {
 public:
  /// \param members all that are known; one named twice counts once. \param own this node's name.
  void update(const std::vector<RingMember>& members, std::string_view own);

  /// \return whether one of the key's points belongs to this node; never while it does not stand
  /// among the members itself.
  [[nodiscard]] bool isOwnerOf(std::string_view key, std::size_t count) const;

 private:
  /// A part of the ring: the points behind `begin` up to `end`.
  struct Arc {
    std::uint64_t begin = 0;
    std::uint64_t end = 0;
  };
  void beginArcs(std::vector<std::uint64_t> ownPoints);
  void cutArc(std::uint64_t point);
  /// \return the number of the own arc that ends at the point or next behind it.
  [[nodiscard]] std::size_t arcBehind(std::uint64_t point) const;
  [[nodiscard]] bool isOwn(std::uint64_t point) const;

  std::vector<RingMember> members_;  ///< As of the last update.
  std::vector<Arc> ownArcs_;         ///< By their ends.
};

}  // namespace gorsetrail::routing
