/// \file Messages of failure detection and what rides on them.
///
/// Cost a node is constant: one probe a period, a bounded number of updates on each message.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/ids.h"

namespace gorsetrail::membership {

/// Belief about one life of a node. `Terminated` comes only from the platform's machine list.
enum class MemberState : std::uint8_t { Alive, Suspected, Dead, Leaving, Terminated };

/// \return the state's stable name for logs.
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

/// A belief that spreads; a higher incarnation wins, then the higher state rank.
struct MemberUpdate {
  NodeId node;
  Incarnation incarnation;
  MemberState state = MemberState::Alive;
  std::uint32_t refutation = 0;  ///< Raised by the node itself to refute a suspicion.
};

/// A back end that takes no new work (or takes it again); the higher `version` wins.
struct BackendNotice {
  std::uint32_t backendHash = 0;  ///< First 32 bits of the digest of the back end's name.
  bool leaving = false;
  std::uint32_t version = 0;
};

/// What every membership message carries besides its own content.
struct Piggyback {
  Incarnation senderIncarnation;
  BundleVersion bundleInForce;
  std::vector<MemberUpdate> updates;   ///< At most `kMaximumUpdates`.
  std::vector<BackendNotice> notices;  ///< At most `kMaximumNotices`.
};
inline constexpr std::size_t kMaximumUpdates = 8;
inline constexpr std::size_t kMaximumNotices = 8;

struct ProbeRequest {
  std::uint32_t probe = 0;
  Piggyback piggyback;
};
struct ProbeReply {
  std::uint32_t probe = 0;
  Piggyback piggyback;
};
/// Asks another node to probe `target`, since the own probe went unanswered.
struct IndirectProbeRequest {
  std::uint32_t probe = 0;
  NodeId target;
  Piggyback piggyback;
};

using MembershipMessage = std::variant<ProbeRequest, ProbeReply, IndirectProbeRequest>;

}  // namespace gorsetrail::membership
