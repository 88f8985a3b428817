// The part of `Exchange` that looks after a replica which says nothing: it may be slow, without
// power, behind a cut, or started again.
#include <algorithm>

#include "edge/exchange.h"

namespace gorsetrail::edge {

void Exchange::watchSilence() {
  context_.timers.runAfter(context_.knobs.silence,
                           [weak = weak_from_this(), number = dispatchNumber_] {
                             const auto self = weak.lock();
                             if (self && self->dispatchNumber_ == number && self->call_) {
                               self->onSilence();
                             }
                           });
}

// A replica without power, or behind a cut, says nothing: only a connection that does not come up
// tells it from one that works.
void Exchange::onSilence() {
  followLife();
  if (replica_->hasEnded()) {
    onRunLost("its process has started again");
    return;
  }
  if (!headSeen_ && !muteNoted_ && context_.clock() - dispatchedAt_ >= context_.knobs.mute) {
    muteNoted_ = true;
    noteOutcome(true);
  }
  const Instant heardAt = std::max(replica_->heardAt, dispatchedAt_);
  if (context_.clock() - heardAt < context_.knobs.silence) {
    watchSilence();
    return;
  }
  context_.client.checkReachable(
      replica_->entry.address, context_.knobs.reachabilityLimit,
      [weak = weak_from_this(), number = dispatchNumber_, heardAt](bool reachable) {
        const auto self = weak.lock();
        if (!self || self->dispatchNumber_ != number || !self->call_) {
          return;
        }
        const bool heardSince = self->replica_->heardAt > heardAt;
        if (reachable || heardSince) {
          self->watchSilence();
        } else {
          self->onRunLost("silent, and takes no connection");
        }
      });
}

void Exchange::onRunLost(std::string_view reason) {
  call_->cancel();
  call_.reset();
  mayHaveRun_ = true;
  headSeen_ = false;  // A head that came earlier does not show that the replica still runs.
  suspectReplica(reason);
  runs_.noteRun(replica_, dispatchedAt_);
  runs_.noteUnreachable(replica_);
  recover(true, false);
}

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
