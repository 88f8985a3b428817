/// \file Consistent hashing of keys to cluster members. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gorsetrail::routing {

/// A member and its weight relative to other members.
struct RingMember {
  std::string name;
  double weight = 1.0;  ///< Not negative.

  [[nodiscard]] bool operator==(const RingMember& other) const = default;
};

/// A consistent hash ring. Each member has points on the ring in proportion to its weight. A key
/// with `count` owners has `count` points, each owned by the next member point. Under one member
/// list a key has at most `count` owners; nodes with two different lists yield at most twice as
/// many. Lookup time does not depend on the cluster size.
class MemberRing {
 public:
  /// \param members the known members; a duplicate counts once.
  /// \param ownName this node's name.
  void update(const std::vector<RingMember>& members, std::string_view ownName);

  /// \return whether this node owns one of the key's points; false if it is not a member.
  [[nodiscard]] bool isOwnerOf(std::string_view key, std::size_t count) const;

 private:
  /// A part of the ring: the points after `begin`, up to and including `end`.
  struct Arc {
    std::uint64_t begin = 0;
    std::uint64_t end = 0;
  };
  void initializeArcs(std::vector<std::uint64_t> ownPoints);
  void claimForOther(std::uint64_t point);
  /// \return the index of this node's arc whose end is the first one at or after the point.
  [[nodiscard]] std::size_t arcAtOrAfter(std::uint64_t point) const;
  [[nodiscard]] bool ownsPoint(std::uint64_t point) const;

  std::vector<RingMember> members_;  ///< As of the last update.
  std::vector<Arc> ownArcs_;         ///< Sorted by `end`.
};

}  // namespace gorsetrail::routing
