#include <algorithm>
#include <memory>
#include <vector>

#include "engine/backend_table.h"
#include "node/core/load_observation.h"

// Last, since it redefines operator new.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::node;

namespace {

constexpr std::uint32_t kZones = 2;
constexpr std::uint32_t kNodesInZone = 50;
constexpr std::uint32_t kReplicasInZone = 99;
constexpr int kWarmUpSeconds = 20;
/// Each of 50 nodes has its turn at one of 8 a second.
constexpr Duration kOldestInZone = seconds(7);
constexpr std::size_t kMessageBytes = 76;  ///< Of an encoded frame without entries.
constexpr std::size_t kEntryBytes = 12;
constexpr std::size_t kMostBytesInASecond = 2500;

/// Tables and observers of a fleet, without the rest of the nodes.
class SpreadFleet {
 public:
  SpreadFleet() {
    bundle_.version = BundleVersion(1);
    for (std::uint32_t zone = 0; zone < kZones; ++zone) {
      const std::string name = "zone-" + std::to_string(zone);
      for (std::uint32_t index = 0; index < kNodesInZone; ++index) {
        const NodeId node(zone * kNodesInZone + index + 1);
        members_.push_back({node, name, "", ""});
      }
      for (std::uint32_t index = 0; index < kReplicasInZone; ++index) {
        bundle::Backend backend;
        backend.name = name + "-lm-" + std::to_string(index);
        backend.zone = name;
        bundle_.backends.push_back(backend);
        descriptions_.push_back({backend.name, name, "", "", false});
      }
    }
    for (const membership::Member& member : members_) {
      nodes_.push_back(std::make_unique<Node>(member, members_));
      nodes_.back()->table.update(descriptions_, now_);
      nodes_.back()->observation.update(bundle_, *nodes_.back()->membership);
    }
  }

  void runOneSecond() {
    now_ += seconds(1);
    for (const auto& node : nodes_) {
      for (const bundle::Backend& backend : node->observation.observed()) {
        node->table.onReport(backend.name, {1, 0, 0, now_});
      }
    }
    for (const auto& node : nodes_) {
      std::size_t sent = 0;
      for (const DigestTarget& target : node->observation.dueTargets(*node->membership, now_)) {
        const engine::LoadDigest digest =
            target.sameZone ? node->table.digestOf(node->observation.observedNames(), now_)
                            : node->table.digestFor(target.zone, now_);
        nodes_[target.node.value() - 1]->table.onDigest(digest, now_);
        sent += kMessageBytes + digest.replicas.size() * kEntryBytes;
      }
      mostSent_ = std::max(mostSent_, sent);
    }
  }

  /// \return the age of what the nodes know of the replicas of their own zone, oldest last.
  std::vector<Duration> agesInZone() const {
    std::vector<Duration> ages;
    for (const auto& node : nodes_) {
      for (const bundle::Backend& backend : bundle_.backends) {
        if (backend.zone == node->zone) {
          const auto at = node->table.reportedAt(backend.name);
          ages.push_back(at ? now_ - *at : Duration::max());
        }
      }
    }
    std::sort(ages.begin(), ages.end());
    return ages;
  }
  [[nodiscard]] std::size_t mostBytesSentInASecond() const { return mostSent_; }

 private:
  struct Node {
    Node(const membership::Member& member, const std::vector<membership::Member>& members)
        : zone(member.zone),
          membership(membership::makeMembershipService(member.node, Incarnation(1), members, {},
                                                       member.node.value())),
          observation(member.node, member.zone, member.node.value()) {}
    std::string zone;
    membership::MembershipServicePtr membership;
    LoadObservation observation;
    engine::BackendTable table;
  };

  Instant now_{seconds(100)};
  bundle::Bundle bundle_;
  std::vector<membership::Member> members_;
  std::vector<engine::BackendDescription> descriptions_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::size_t mostSent_ = 0;
};

}  // namespace

TEST_GROUP(DigestSpread){};

TEST(DigestSpread, EveryNodeKnowsItsZoneFreshlyAtAFixedCost) {
  SpreadFleet fleet;
  for (int second = 0; second < kWarmUpSeconds; ++second) {
    fleet.runOneSecond();
  }
  const std::vector<Duration> ages = fleet.agesInZone();

  CHECK(ages.back() <= kOldestInZone);
  CHECK(fleet.mostBytesSentInASecond() <= kMostBytesInASecond);
}
