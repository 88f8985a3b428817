#include "routing/member_ring.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace gorsetrail::routing {
namespace {

/// Of the members with the largest weight; what 32 points carry differs by a sixth.
constexpr double kMostPoints = 32;
/// Keys and members of one name stand at different points.
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

/// \return the member's points; one at least, so that a member whose weight is small beside others'
/// can take its part where those are gone.
std::vector<std::uint64_t> pointsOf(const RingMember& member, double largestWeight) {
  const double share = largestWeight > 0 ? member.weight / largestWeight : 1.0;
  const double count = std::max(1.0, std::round(share * kMostPoints));
  std::vector<std::uint64_t> points(static_cast<std::size_t>(count));
  for (std::size_t number = 0; number < points.size(); ++number) {
    points[number] = pointOf(member.name, number);
  }
  return points;
}

}  // namespace

void MemberRing::update(const std::vector<RingMember>& members, std::string_view own) {
  if (members == members_) {
    return;
  }
  members_ = members;
  ownArcs_.clear();
  const auto self = std::find_if(members.begin(), members.end(),
                                 [own](const RingMember& member) { return member.name == own; });
  if (self == members.end()) {
    return;
  }
  const double largestWeight = largestWeightOf(members);
  beginArcs(pointsOf(*self, largestWeight));
  for (const RingMember& member : members) {
    if (member.name != own) {
      for (const std::uint64_t point : pointsOf(member, largestWeight)) {
        cutArc(point);
      }
    }
  }
}

// As if this node stood on the ring alone.
void MemberRing::beginArcs(std::vector<std::uint64_t> ownPoints) {
  std::sort(ownPoints.begin(), ownPoints.end());
  std::uint64_t before = ownPoints.back();
  for (const std::uint64_t point : ownPoints) {
    ownArcs_.push_back({before, point});
    before = point;
  }
}

// What lies up to another member's point belongs to that member.
void MemberRing::cutArc(std::uint64_t point) {
  Arc& arc = ownArcs_[arcBehind(point)];
  if (arc.end - point < arc.end - arc.begin || arc.end == arc.begin) {
    arc.begin = point;
  }
}

std::size_t MemberRing::arcBehind(std::uint64_t point) const {
  const auto next =
      std::lower_bound(ownArcs_.begin(), ownArcs_.end(), point,
                       [](const Arc& arc, std::uint64_t wanted) { return arc.end < wanted; });
  // Behind the last arc the ring goes on at its first point.
  return next == ownArcs_.end() ? 0 : static_cast<std::size_t>(next - ownArcs_.begin());
}

bool MemberRing::isOwn(std::uint64_t point) const {
  if (ownArcs_.empty()) {
    return false;
  }
  const Arc& arc = ownArcs_[arcBehind(point)];
  // One point alone on the ring has all of it.
  return arc.end == arc.begin || arc.end - point < arc.end - arc.begin;
}

bool MemberRing::isOwnerOf(std::string_view key, std::size_t count) const {
  for (std::size_t number = 0; number < count; ++number) {
    if (isOwn(pointOf(key, kFirstKeySeed + number))) {
      return true;
    }
  }
  return false;
}

}  // namespace gorsetrail::routing
