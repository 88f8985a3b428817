#include "routing/member_ring.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace gorsetrail::routing {
namespace {

/// Points of the members with the largest weight. With 32, their shares of the ring deviate by
/// about a sixth.
constexpr double kMaxPoints = 32;
/// Separates the points of keys from those of members with the same name.
constexpr std::uint64_t kFirstKeySeed = std::uint64_t{1} << 32U;

std::uint64_t pointOf(std::string_view name, std::uint64_t seed) {
  return XXH64(name.data(), name.size(), seed);
}

double largestWeightOf(const std::vector<RingMember>& members) {
  double largest = 0;
  for (const RingMember& member : members) {
    largest = std::max(largest, member.weight);
  }
  return largest;
}

/// \return the member's points; at least one, so that a member with a relatively small weight can
/// own keys when the others are gone.
std::vector<std::uint64_t> pointsOf(const RingMember& member, double largestWeight) {
  const double share = largestWeight > 0 ? member.weight / largestWeight : 1.0;
  const double count = std::max(1.0, std::round(share * kMaxPoints));
  std::vector<std::uint64_t> points(static_cast<std::size_t>(count));
  for (std::size_t index = 0; index < points.size(); ++index) {
    points[index] = pointOf(member.name, index);
  }
  return points;
}

}  // namespace

void MemberRing::update(const std::vector<RingMember>& members, std::string_view ownName) {
  if (members == members_) {
    return;
  }
  members_ = members;
  ownArcs_.clear();
  const auto ownMember =
      std::find_if(members.begin(), members.end(),
                   [ownName](const RingMember& member) { return member.name == ownName; });
  if (ownMember == members.end()) {
    return;
  }
  const double largestWeight = largestWeightOf(members);
  initializeArcs(pointsOf(*ownMember, largestWeight));
  for (const RingMember& member : members) {
    if (member.name != ownName) {
      for (const std::uint64_t point : pointsOf(member, largestWeight)) {
        claimForOther(point);
      }
    }
  }
}

// Builds this node's arcs as if it were the only member.
void MemberRing::initializeArcs(std::vector<std::uint64_t> ownPoints) {
  std::sort(ownPoints.begin(), ownPoints.end());
  std::uint64_t before = ownPoints.back();
  for (const std::uint64_t point : ownPoints) {
    ownArcs_.push_back({before, point});
    before = point;
  }
}

// Removes the part of this node's arc that belongs to another member's point.
void MemberRing::claimForOther(std::uint64_t point) {
  Arc& arc = ownArcs_[arcAtOrAfter(point)];
  if (arc.end - point < arc.end - arc.begin || arc.end == arc.begin) {
    arc.begin = point;
  }
}

std::size_t MemberRing::arcAtOrAfter(std::uint64_t point) const {
  const auto next =
      std::lower_bound(ownArcs_.begin(), ownArcs_.end(), point,
                       [](const Arc& arc, std::uint64_t wanted) { return arc.end < wanted; });
  // The ring wraps around after the last arc.
  return next == ownArcs_.end() ? 0 : static_cast<std::size_t>(next - ownArcs_.begin());
}

bool MemberRing::ownsPoint(std::uint64_t point) const {
  if (ownArcs_.empty()) {
    return false;
  }
  const Arc& arc = ownArcs_[arcAtOrAfter(point)];
  // An arc with equal ends covers the whole ring: there is only one point.
  return arc.end == arc.begin || arc.end - point < arc.end - arc.begin;
}

bool MemberRing::isOwnerOf(std::string_view key, std::size_t count) const {
  for (std::size_t index = 0; index < count; ++index) {
    if (ownsPoint(pointOf(key, kFirstKeySeed + index))) {
      return true;
    }
  }
  return false;
}

}  // namespace gorsetrail::routing
