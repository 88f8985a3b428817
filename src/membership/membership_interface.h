/// \file Failure detection messages and the gossip piggybacked on them.
///
/// The cost per node is constant: one probe per period and a bounded number of updates per message.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/ids.h"

namespace gorsetrail::membership {

/// State of one incarnation of a node. `Terminated` comes only from the platform's machine list.
enum class MemberState : std::uint8_t { Alive, Suspected, Dead, Leaving, Terminated };

/// \return the state's name in logs; these names are stable.
constexpr std::string_view memberStateName(MemberState state) {
  switch (state) {
    case MemberState::Alive:
      return "alive";
    case MemberState::Suspected:
      return "suspected";
    case MemberState::Dead:
      return "dead";
    case MemberState::Leaving:
      return "leaving";
    case MemberState::Terminated:
      return "terminated";
  }
  return "unknown";
}

/// Disseminated state of a node; see `member_table.h` for the order of updates.
struct MemberUpdate {
  NodeId node;
  Incarnation incarnation;
  MemberState state = MemberState::Alive;
  std::uint32_t refutation = 0;  ///< Raised by the node itself to refute a suspicion.
};

/// Reports whether a back end is draining; the higher `version` wins.
struct BackendNotice {
  std::uint32_t backendHash = 0;  ///< First 32 bits of the digest of the back end's name.
  bool leaving = false;
  std::uint32_t version = 0;
};

/// Gossip that every membership message carries besides its own content.
struct Piggyback {
  Incarnation senderIncarnation;
  BundleVersion bundleInForce;
  std::vector<MemberUpdate> updates;   ///< At most `kMaximumUpdates`.
  std::vector<BackendNotice> notices;  ///< At most `kMaximumNotices`.
};
inline constexpr std::size_t kMaximumUpdates = 8;
inline constexpr std::size_t kMaximumNotices = 8;

struct ProbeRequest {
  std::uint32_t probe = 0;  ///< Id of the probe; echoed by the reply.
  Piggyback piggyback;
};
struct ProbeReply {
  std::uint32_t probe = 0;
  Piggyback piggyback;
};
/// Asks another node to probe `target` because the sender's direct probe timed out.
struct IndirectProbeRequest {
  std::uint32_t probe = 0;
  NodeId target;
  Piggyback piggyback;
};

using MembershipMessage = std::variant<ProbeRequest, ProbeReply, IndirectProbeRequest>;

}  // namespace gorsetrail::membership
