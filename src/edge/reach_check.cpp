#include "edge/reach_check.h"

#include <memory>
#include <optional>
#include <utility>

namespace gorsetrail::edge {
namespace {

/// Connections opened to the replica. Two, because one lost packet delays a connection beyond the
/// timeout.
constexpr int kReplicaConnections = 2;

/// Combines the results of the connections of one check; each connection reports once.
class ReachabilityCheck {
 public:
  explicit ReachabilityCheck(std::function<void(Reachability)> callback)
      : callback_(std::move(callback)) {}

  void onReplica(bool reached) {
    --replicaConnections_;
    if (reached || replicaConnections_ == 0) {
      replicaReached_ = reached;
      decide();
    }
  }
  void onWitness(bool reached) {
    witnessReached_ = reached;
    decide();
  }

 private:
  void decide() {
    if (!callback_ || !replicaReached_) {
      return;
    }
    if (*replicaReached_) {
      end(Reachability::Reachable);
    } else if (witnessReached_) {
      end(*witnessReached_ ? Reachability::Unreachable : Reachability::Unknown);
    }
  }
  void end(Reachability reach) { std::exchange(callback_, {})(reach); }

  std::function<void(Reachability)> callback_;
  int replicaConnections_ = kReplicaConnections;
  std::optional<bool> replicaReached_;
  std::optional<bool> witnessReached_;
};

}  // namespace

std::string_view reachabilityName(Reachability reach) {
  switch (reach) {
    case Reachability::Reachable:
      return "reached";
    case Reachability::Unreachable:
      return "out_of_reach";
    case Reachability::Unknown:
      break;
  }
  return "unknown";
}

void checkReachability(http::HttpClient& client, const std::string& replica,
                       const std::string& witness, Duration timeLimit,
                       std::function<void(Reachability)> callback) {
  const auto check = std::make_shared<ReachabilityCheck>(std::move(callback));
  if (witness.empty()) {
    check->onWitness(true);
  } else {
    client.checkReachable(witness, timeLimit, [check](bool reached) { check->onWitness(reached); });
  }
  for (int connection = 0; connection < kReplicaConnections; ++connection) {
    client.checkReachable(replica, timeLimit, [check](bool reached) { check->onReplica(reached); });
  }
}

}  // namespace gorsetrail::edge
