// Replays a tenant at seven times its load among 76 tenants, over nodes that know each other's
// loads from late and incomplete digests. Without shares it takes most of the capacity.
#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "routing/admission_policy.h"
#include "routing/tenant_shares.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::routing;

namespace {

constexpr std::size_t kNodes = 67;
constexpr std::size_t kDigestReceivers = 16;
constexpr std::size_t kTenants = 76;
constexpr std::size_t kLargeTenant = 0;
constexpr int kTurns = 4;
constexpr int kTries = 3;
constexpr std::size_t kSlots = 228;
constexpr std::size_t kQueue = 228;  ///< Requests that wait at engines; more are rejected.
constexpr Duration kStep = milliseconds(10);
constexpr Duration kTurnTime = milliseconds(200);
/// A client retries after 0.4 s, spread by a quarter.
constexpr Duration kLeastRetryDelay = milliseconds(300);
constexpr std::uint64_t kRetrySpreadMicroseconds = 200000;
/// 1.5 times the four turns on idle engines, and 0.5 s.
constexpr Duration kDeadline = milliseconds(1700);

struct Node {
  ReplicaTable replicas;
  FleetLoad fleetLoad{{}};
  TenantShares shares{{}};
  std::uint64_t digests = 0;
  /// All replicas of the service in one.
  Replica& replica() { return *replicas.ofService("model").front(); }
};

struct Program {
  std::size_t tenant = 0;
  int turn = 0;
  int tries = 0;
  std::size_t node = 0;
  bool isSent = false;
  Instant at;                        ///< When its turn was sent, or is tried next.
  Duration left = Duration::zero();  ///< Of its turn, while that runs.
  Instant startedAt;
};

struct Outcomes {
  double ended = 0;
  double lost = 0;
};

class Fleet {
 public:
  Fleet(bool hasShares, bool hasDigests) : hasShares_(hasShares), hasDigests_(hasDigests) {
    std::vector<tenant::Tenant> tenants;
    for (std::size_t number = 0; number < kTenants; ++number) {
      tenants.push_back({"t" + std::to_string(number), {}, {}, {weightOf(number), 1}});
    }
    auto made = tenant::TenantDirectory::make(std::move(tenants));
    tenants_ = std::make_shared<const tenant::TenantDirectory>(std::move(valueOf(made)));
    for (Node& node : nodes_) {
      ReplicaEntry entry;
      entry.id = "r";
      entry.service = "model";
      entry.slots = static_cast<std::uint32_t>(kSlots);
      node.replicas.upsert(entry);
    }
  }

  /// Runs for a time; tenants start 200 programs per second, 70% of what the slots can serve, and
  /// the large tenant, which has a fifth of it, `factor` times its part.
  void run(Duration span, double factor) {
    for (const Instant end = now_ + span; now_ < end; now_ += kStep) {
      for (std::size_t number = 0; number < kTenants; ++number) {
        arrive(number, weightOf(number) * (number == kLargeTenant ? factor : 1.0));
      }
      work();
      for (std::size_t index = 0; index < programs_.size(); ++index) {
        if (!programs_[index].isSent && programs_[index].at <= now_) {
          tryTurn(programs_[index]);
        }
      }
      std::erase_if(programs_, [](const Program& program) { return program.tries >= kTries; });
      if ((now_.time_since_epoch() % milliseconds(100)) == Duration::zero()) {
        exchange();
      }
    }
  }
  /// Programs of the large tenant and of the others that ended or were lost since the last call.
  std::array<Outcomes, 2> takeOutcomes() { return std::exchange(outcomes_, {}); }

 private:
  /// \return the programs per second that the tenant usually starts.
  static double weightOf(std::size_t number) {
    return number == kLargeTenant ? 40.0 : 160.0 / (kTenants - 1);
  }
  Outcomes& outcomesOf(const Program& program) {
    return outcomes_.at(program.tenant == kLargeTenant ? 0 : 1);
  }
  const std::string& nameOf(const Program& program) const {
    return tenants_->tenants()[program.tenant].name;
  }
  void arrive(std::size_t tenant, double perSecond) {
    constexpr int kDraws = 10;
    const double perDraw = perSecond * std::chrono::duration<double>(kStep).count() / kDraws;
    for (int draw = 0; draw < kDraws; ++draw) {
      if (random_.fraction() >= perDraw) {
        continue;
      }
      programs_.push_back({tenant, 0, 0, 0, false, now_, {}, now_});
    }
  }
  /// Engines run the requests that came first, and keep the others waiting.
  void work() {
    std::vector<Program*> sent;
    for (Program& program : programs_) {
      if (program.isSent) {
        sent.push_back(&program);
      }
    }
    std::sort(sent.begin(), sent.end(),
              [](const Program* left, const Program* right) { return left->at < right->at; });
    sent_ = sent.size();
    sent.resize(std::min(sent.size(), kSlots));
    for (Program* const program : sent) {
      program->left -= kStep;
      if (program->left <= Duration::zero()) {
        endTurn(*program);
      }
    }
    std::erase_if(programs_, [](const Program& program) { return program.turn == kTurns; });
  }
  void endTurn(Program& program) {
    Node& node = nodes_.at(program.node);
    --node.replica().inFlight;
    node.shares.ownLoads().endRequest("model", nameOf(program));
    program.isSent = false;
    program.at = now_;
    program.tries = 0;
    if (++program.turn == kTurns) {
      ++(now_ - program.startedAt <= kDeadline ? outcomesOf(program).ended
                                               : outcomesOf(program).lost);
    }
  }
  bool isAdmitted(const Program& program, Node& node) {
    const auto limit =
        hasShares_ ? node.shares.limitOf("model", nameOf(program)) : std::optional<TenantShare>();
    AdmissionRequest request;
    request.stage = program.turn == 0 ? WorkStage::FirstTurn : WorkStage::Continuing;
    request.isTenantAboveShare = limit.has_value();
    const bool mayStart =
        !limit || program.turn > 0 || admitsStart(*limit, std::to_string(++attempts_));
    return mayStart && admission_.admits(node.replica(), request);
  }
  void tryTurn(Program& program) {
    program.node = random_.below(kNodes);
    Node& node = nodes_.at(program.node);
    if (isAdmitted(program, node) && sent_ < kSlots + kQueue) {
      ++sent_;
      ++node.replica().inFlight;
      node.shares.ownLoads().beginRequest("model", nameOf(program));
      program.isSent = true;
      program.at = now_;
      program.left = kTurnTime;
      return;
    }
    program.at = now_ + kLeastRetryDelay + microseconds(random_.below(kRetrySpreadMicroseconds));
    outcomesOf(program).lost += ++program.tries == kTries ? 1 : 0;
  }
  /// Digests arrive at some of the other nodes, and are known with the next period.
  void exchange() {
    for (std::size_t index = 0; index < kNodes; ++index) {
      Node& node = nodes_.at(index);
      const auto own = static_cast<std::uint16_t>(node.replica().inFlight);
      LoadDigest digest{index + 1, ++node.digests, {{replicaHashOf("r"), own}}, {}, 0};
      digest.reports.tenants = node.shares.ownLoads().largest(16);
      for (std::size_t sent = 0; hasDigests_ && sent < kDigestReceivers; ++sent) {
        const std::size_t receiver = (index + 1 + random_.below(kNodes - 1)) % kNodes;
        nodes_.at(receiver).fleetLoad.onDigest(digest, now_);
      }
      node.fleetLoad.apply(node.replicas, {kNodes - 1, 0}, now_);
      const double limit = AdmissionKnobs{}.firstTurn;
      node.shares.update({{{"model", node.replica().load(), double{kSlots}, limit}},
                          tenants_,
                          node.fleetLoad.reports(),
                          kNodes - 1});
    }
  }

  bool hasShares_;
  bool hasDigests_;
  RandomSource random_{7};
  Instant now_{seconds(100)};
  std::shared_ptr<const tenant::TenantDirectory> tenants_;
  AdmissionPolicy admission_{{}};
  std::array<Node, kNodes> nodes_;
  std::vector<Program> programs_;
  std::uint64_t attempts_ = 0;
  std::size_t sent_ = 0;  ///< Requests at engines.
  std::array<Outcomes, 2> outcomes_;
};

/// \return the fraction of programs that ended before their deadlines.
double inTime(const Outcomes& outcomes) {
  return outcomes.ended / (outcomes.ended + outcomes.lost);
}

}  // namespace

TEST_GROUP(TenantSharesFleet){};

TEST(TenantSharesFleet, oneTenantAtSevenTimesItsLoadLeavesTheOthersWhatTheyHad) {
  Fleet fleet(true, true);
  fleet.run(seconds(2), 1.0);
  fleet.takeOutcomes();
  fleet.run(seconds(6), 7.0);
  const auto [large, others] = fleet.takeOutcomes();
  CHECK(inTime(others) > 0.97);
  // The others use 56% of the slots. The tenant gets at least half of the remainder.
  CHECK(large.ended > 0.5 * 125 * 6);
  // Three seconds after the load has ended, the tenant has what it had before.
  fleet.run(seconds(3), 1.0);
  fleet.takeOutcomes();
  fleet.run(seconds(1), 1.0);
  CHECK(inTime(fleet.takeOutcomes().front()) > 0.97);
}

TEST(TenantSharesFleet, withoutSharesTheOthersLoseMostOfTheirPrograms) {
  Fleet fleet(false, true);
  fleet.run(seconds(2), 1.0);
  fleet.takeOutcomes();
  fleet.run(seconds(6), 7.0);
  CHECK(inTime(fleet.takeOutcomes().back()) < 0.6);
}

// Each node then divides its equal part. Its counts are small, so the tenant is limited later, but
// the others are served again.
TEST(TenantSharesFleet, nodesWithoutDigestsHoldTheTenantBackTogether) {
  std::array<double, 2> othersInTime{};
  for (const bool hasShares : {false, true}) {
    Fleet fleet(hasShares, false);
    fleet.run(seconds(2), 1.0);
    fleet.run(seconds(6), 7.0);
    fleet.takeOutcomes();
    fleet.run(seconds(4), 7.0);
    othersInTime.at(hasShares ? 1 : 0) = inTime(fleet.takeOutcomes().back());
  }
  CHECK(othersInTime[0] < 0.6);
  CHECK(othersInTime[1] > 0.9);
}
