// The part of `Exchange` that deals with a replica whose process has started again.
#include "edge/exchange.h"

namespace gorsetrail::edge {

// The registration of a new life is read a while after its start: what was sent meanwhile runs
// there, and must neither count as lost nor run a second time.
void Exchange::followLife() {
  const routing::ReplicaPtr reached = routing::lifeAt(replica_, dispatchedAt_);
  if (reached == replica_) {
    return;
  }
  releaseReplica();
  replica_ = reached;
  ++replica_->inFlight;
}

}  // namespace gorsetrail::edge
