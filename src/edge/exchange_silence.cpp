// The part of `Exchange` that looks after a replica which says nothing: it may be slow, without
// power, behind a cut, or started again.
#include <algorithm>
#include <functional>
#include <string>
#include <utility>

#include "edge/exchange.h"
#include "edge/reach_check.h"

namespace gorsetrail::edge {

void Exchange::startSilenceTimer() {
  context_.timers.runAfter(context_.knobs.silence,
                           [weak = weak_from_this(), number = dispatchNumber_] {
                             const auto self = weak.lock();
                             if (self && self->dispatchNumber_ == number && self->call_) {
                               self->onSilenceTimeout();
                             }
                           });
}

// A replica without power, or behind a cut, says nothing: only a connection that does not come up
// tells it from one that works. What is no proof of that must not end its run: the replica would go
// on with it beside the next one.
void Exchange::onSilenceTimeout() {
  followRestartedReplica();
  if (replica_->hasEnded()) {
    onRunLost("its process has started again");
    return;
  }
  if (!headReceived_ && !noAnswerRecorded_ &&
      context_.clock() - dispatchedAt_ >= context_.knobs.mute) {
    noAnswerRecorded_ = true;
    recordOutcome(true);
  }
  const Instant heardAt = std::max(replica_->heardAt, dispatchedAt_);
  if (context_.clock() - heardAt < context_.knobs.silence) {
    startSilenceTimer();
    return;
  }
  checkReplicaReachability([heardAt](Exchange& self, Reachability reach) {
    const bool heardSince = self.replica_->heardAt > heardAt;
    if (!self.call_) {
      return;
    }
    if (reach == Reachability::Unreachable && !heardSince) {
      self.onRunLost("silent, and takes no connection");
    } else {
      self.startSilenceTimer();
    }
  });
}

void Exchange::checkReplicaReachability(std::function<void(Exchange&, Reachability)> callback) {
  const routing::ReplicaPtr witness = context_.placement.witnessFor(*replica_);
  const std::string witnessAddress = witness ? witness->entry.address : std::string();
  checkReachability(
      context_.client, replica_->entry.address, witnessAddress, context_.knobs.reachabilityLimit,
      [weak = weak_from_this(), number = dispatchNumber_, witnessAddress,
       callback = std::move(callback)](Reachability reach) {
        const auto self = weak.lock();
        if (!self || self->ended_ || self->dispatchNumber_ != number || !self->replica_) {
          return;
        }
        self->context_.log.routine("replica_checked", {{"request", self->request_.requestId},
                                                       {"replica", self->replica_->entry.id},
                                                       {"witness", witnessAddress},
                                                       {"reach", reachabilityName(reach)}});
        callback(*self, reach);
      });
}

void Exchange::onRunLost(std::string_view reason) {
  call_->cancel();
  call_.reset();
  mayHaveRun_ = true;
  headReceived_ = false;  // A head that came earlier does not show that the replica still runs.
  recordReplicaFailure(reason);
  runs_.recordRun(replica_, dispatchedAt_);
  runs_.recordUnreachable(replica_);
  recover(false);
}

// The registration of a new life is read a while after its start: what was sent meanwhile runs
// there, and must neither count as lost nor run a second time.
void Exchange::followRestartedReplica() {
  const routing::ReplicaPtr reached = routing::lifeAt(replica_, dispatchedAt_);
  if (reached == replica_) {
    return;
  }
  releaseReplica();
  replica_ = reached;
  ++replica_->inFlight;
}

}  // namespace gorsetrail::edge
