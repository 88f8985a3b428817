#include "node/front/status_pages.h"

#include <nlohmann/json.hpp>

namespace gorsetrail::node {
namespace {

using Json = nlohmann::ordered_json;

const char* stateName(membership::MemberState state) {
  switch (state) {
    case membership::MemberState::Alive:
      return "alive";
    case membership::MemberState::Suspected:
      return "suspected";
    case membership::MemberState::Dead:
      return "dead";
    case membership::MemberState::Leaving:
      return "leaving";
    case membership::MemberState::Terminated:
      return "terminated";
  }
  return "unknown";
}

std::uint64_t bundleVersionOf(const NodeCore& core) {
  const auto bundle = core.bundleInForce();
  return bundle ? bundle->version.value() : 0;
}

const char* statusName(const NodeFacts& facts, const NodeCore& core) {
  if (facts.stopping) {
    return "stopping";
  }
  return core.bundleInForce() ? "ok" : "waiting_for_bundle";
}

/// Text of other nodes or callers may hold anything: bad bytes are replaced, never thrown over.
std::string dumped(const Json& json) {
  constexpr int kCompact = -1;
  return json.dump(kCompact, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

std::string healthJson(const NodeFacts& facts, const NodeCore& core) {
  return dumped({{"status", statusName(facts, core)},
                 {"node", facts.self.value()},
                 {"zone", facts.zone},
                 {"bundle_version", bundleVersionOf(core)},
                 {"calls_under_way", facts.callsUnderWay}});
}

std::string statusJson(const NodeFacts& facts, const NodeCore& core) {
  Json members = Json::array();
  for (const membership::Member& member : core.membership().members()) {
    members.push_back({{"node", member.node.value()},
                       {"zone", member.zone},
                       {"state", stateName(core.membership().stateOf(member.node))},
                       {"incarnation", core.membership().incarnationOf(member.node).value()},
                       {"callers", member.callerAddress}});
  }
  return dumped({{"node", facts.self.value()},
                 {"site", facts.site},
                 {"zone", facts.zone},
                 {"incarnation", facts.incarnation.value()},
                 {"status", statusName(facts, core)},
                 {"bundle_version", bundleVersionOf(core)},
                 {"calls_under_way", facts.callsUnderWay},
                 {"members", std::move(members)}});
}

std::string programJson(const program::ProgramSummary& summary) {
  Json history = Json::parse(summary.history, nullptr, false);
  return dumped({{"program", summary.key.name},
                 {"tenant", summary.key.tenant},
                 {"zone", summary.key.homeZone},
                 {"epoch", summary.epoch.value()},
                 {"calls", summary.callsMade},
                 {"tokens_used", summary.tokensUsed},
                 {"closed", summary.closed},
                 {"history", history.is_discarded() ? Json::array() : std::move(history)}});
}

}  // namespace gorsetrail::node
