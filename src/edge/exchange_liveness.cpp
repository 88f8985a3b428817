// Part of `Exchange`: detects that a replica which sends nothing has failed, is partitioned or has
// restarted, as opposed to being slow.
#include <algorithm>
#include <functional>
#include <string>
#include <utility>

#include "edge/exchange.h"
#include "edge/reach_check.h"

namespace gorsetrail::edge {

void Exchange::startNoDataTimer() {
  noDataTimer_ = context_.timers.startTimer(
      context_.knobs.reachabilityCheckDelay, [weak = weak_from_this(), number = dispatchNumber_] {
        const auto self = weak.lock();
        if (self && self->dispatchNumber_ == number && self->call_) {
          self->onNoDataTimeout();
        }
      });
}

// A failed or partitioned replica differs from a slow one only in that new connections fail.
// Without that proof the run must not be abandoned: the request would run at two replicas at once.
void Exchange::onNoDataTimeout() {
  followRestartedReplica();
  if (replica_->hasEnded()) {
    onRunLost("replica process restarted during the request");
    return;
  }
  if (!headReceived_ && !noAnswerRecorded_ &&
      context_.clock() - dispatchedAt_ >= context_.knobs.noResponseFailureTime) {
    noAnswerRecorded_ = true;
    recordOutcome(true);
  }
  const Instant lastDataAt = std::max(replica_->lastDataAt, dispatchedAt_);
  if (context_.clock() - lastDataAt < context_.knobs.reachabilityCheckDelay) {
    startNoDataTimer();
    return;
  }
  checkReplicaReachability([lastDataAt](Exchange& self, Reachability reach) {
    const bool heardSince = self.replica_->lastDataAt > lastDataAt;
    if (!self.call_) {
      return;
    }
    if (reach == Reachability::Unreachable && !heardSince) {
      self.onRunLost("no data received and no new connection accepted");
    } else {
      self.startNoDataTimer();
    }
  });
}

void Exchange::checkReplicaReachability(std::function<void(Exchange&, Reachability)> callback) {
  const routing::ReplicaPtr witness = context_.placement.witnessFor(*replica_);
  const std::string witnessAddress = witness ? witness->entry.address : std::string();
  checkReachability(
      context_.client, replica_->entry.address, witnessAddress, context_.knobs.reachabilityTimeout,
      [weak = weak_from_this(), number = dispatchNumber_, witnessAddress,
       callback = std::move(callback)](Reachability reach) {
        const auto self = weak.lock();
        if (!self || self->ended_ || self->dispatchNumber_ != number || !self->replica_) {
          return;
        }
        self->context_.log.logRoutine("replica_checked", {{"request", self->request_.requestId},
                                                          {"replica", self->replica_->entry.id},
                                                          {"witness", witnessAddress},
                                                          {"reach", reachabilityName(reach)}});
        callback(*self, reach);
      });
}

void Exchange::onRunLost(std::string_view reason) {
  call_->cancel();
  dropCall();
  mayHaveRun_ = true;
  headReceived_ =
      false;  // An earlier response head does not show that the replica is still running.
  recordReplicaFailure(reason, true);
  runs_.recordRun(replica_, dispatchedAt_);
  runs_.recordUnreachable(replica_);
  recover(false);
}

// A restarted replica's registration is read some time after its start. Requests dispatched in
// between run at the new incarnation and must neither count as lost nor run a second time.
void Exchange::followRestartedReplica() {
  const routing::ReplicaPtr incarnation = routing::incarnationAt(replica_, dispatchedAt_);
  if (incarnation == replica_) {
    return;
  }
  releaseReplica();
  occupyReplica(incarnation);
}

}  // namespace gorsetrail::edge
