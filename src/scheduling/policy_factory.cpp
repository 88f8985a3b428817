#include <array>

#include "scheduling/least_outstanding_policy.h"
#include "scheduling/prefix_affinity_policy.h"
#include "scheduling/round_robin_policy.h"
#include "scheduling/scheduling_policy.h"
#include "scheduling/session_sticky_policy.h"
#include "scheduling/sticky_lru_policy.h"

namespace gorsetrail::scheduling {
namespace {

template <class Policy>
SchedulingPolicyPtr make() {
  return std::make_unique<Policy>();
}

struct PolicyEntry {
  std::string_view name;
  SchedulingPolicyPtr (*create)();
};

constexpr std::array<PolicyEntry, 5> kPolicies{{
    {"round-robin", make<RoundRobinPolicy>},
    {"least-outstanding", make<LeastOutstandingPolicy>},
    {"session-sticky", make<SessionStickyPolicy>},
    {"sticky-lru", make<StickyLruPolicy>},
    {"prefix-affinity", make<PrefixAffinityPolicy>},
}};

std::vector<std::string_view> collectNames() {
  std::vector<std::string_view> names;
  names.reserve(kPolicies.size());
  for (const PolicyEntry& entry : kPolicies) {
    names.push_back(entry.name);
  }
  return names;
}

const std::vector<std::string_view> kPolicyNames = collectNames();

}  // namespace

SchedulingPolicyPtr makePolicy(std::string_view name) {
  for (const PolicyEntry& entry : kPolicies) {
    if (entry.name == name) {
      return entry.create();
    }
  }
  return nullptr;
}

const std::vector<std::string_view>& policyNames() { return kPolicyNames; }

}  // namespace gorsetrail::scheduling
