// Part of `Exchange`: keeps the events of a stream to one software version of the replicas, also
// when a client continues the stream at another node.
#include <algorithm>
#include <string>

#include "edge/exchange.h"
#include "edge/exchange_shared.h"
#include "tenant/scoped_name.h"

namespace gorsetrail::edge {
namespace {

/// A stream may be continued until its client's deadline, which bounds all its attempts; clients
/// commonly wait as long as the route's timeout allows. The rest covers clients that wait longer.
constexpr int kLifetimeInTimeouts = 4;
constexpr Duration kMinimumLifetime = seconds(20);

constexpr std::string_view kUnknownOrigin = "stream_origin_unknown";

}  // namespace

bool Exchange::continuesStream() const {
  return isStreaming() && !(request_.lastEventId.empty() && request_.resumedRequestId.empty());
}

routing::RequestKey Exchange::streamId() const {
  const std::string& first =
      request_.resumedRequestId.empty() ? request_.requestId : request_.resumedRequestId;
  return routing::streamIdOf(tenant::scopedName(checked_.tenantName(), first));
}

Duration Exchange::streamLifetime() const {
  return std::max(kMinimumLifetime, checked_.route->timeout * kLifetimeInTimeouts);
}

void Exchange::findStreamOrigin() {
  if (context_.streamOrigins == nullptr || !continuesStream()) {
    checkQuota();
    return;
  }
  if (request_.resumedRequestId.empty()) {
    continueAtOnlyVersion({routing::UnknownOrigin{}, {}, 0, 0});
    return;
  }
  context_.streamOrigins->find(streamId(), [self = shared_from_this()](const OriginLookup& lookup) {
    self->onStreamOrigin(lookup);
  });
}

void Exchange::onStreamOrigin(const OriginLookup& lookup) {
  if (ended_) {
    return;
  }
  if (const auto* const origin = std::get_if<routing::StreamOrigin>(&lookup.state)) {
    continueStream(lookup, *origin, lookup.source.empty() ? "this_node" : lookup.source);
  } else if (std::holds_alternative<routing::ConflictingOrigin>(lookup.state)) {
    refuseToContinueStream(lookup, "stream_origin_conflicting");
  } else {
    continueAtOnlyVersion(lookup);
  }
}

// A read that is newer than the request shows every replica at which the stream can have begun.
void Exchange::continueAtOnlyVersion(const OriginLookup& lookup) {
  const bool hasOneService = checked_.route->services.size() == 1;
  const auto version = hasOneService && context_.onlyVersionOf
                           ? context_.onlyVersionOf(checked_.service, streamLifetime())
                           : std::nullopt;
  const Duration waited = context_.clock() - arrivedAt_;
  if (!version || waited >= context_.knobs.versionCheckTimeLimit) {
    refuseToContinueStream(lookup, kUnknownOrigin);
    return;
  }
  if (context_.storeReadTimes.replicasReadAt >= arrivedAt_) {
    continueStream(lookup, {checked_.service, *version}, "only_version");
    return;
  }
  context_.timers.runAfter(context_.knobs.versionCheckPause, [weak = weak_from_this(), lookup] {
    const auto self = weak.lock();
    if (self && !self->ended_) {
      self->continueAtOnlyVersion(lookup);
    }
  });
}

void Exchange::continueStream(const OriginLookup& lookup, const routing::StreamOrigin& origin,
                              std::string_view knownBy) {
  if (!sendToService(checked_, origin.service)) {
    refuseToContinueStream(lookup, "stream_service_gone");
    return;
  }
  softwareVersion_ = origin.softwareVersion;
  if (!context_.placement.hasReplicaOf(checked_.service, *softwareVersion_)) {
    refuseToContinueStream(lookup, "software_version_gone");
    return;
  }
  ++context_.counters.streamsContinued;
  context_.log.logRoutine("stream_continued", {{"request", request_.requestId},
                                               {"program", request_.programId},
                                               {"resumes", request_.resumedRequestId},
                                               {"after_event", request_.lastEventId},
                                               {"service", checked_.service},
                                               {"software_version", *softwareVersion_},
                                               {"known_by", knownBy},
                                               {"waited_ms", millisecondsUntil(context_.clock())}});
  checkQuota();
}

void Exchange::refuseToContinueStream(const OriginLookup& lookup, std::string_view reason) {
  const auto* const origin = std::get_if<routing::StreamOrigin>(&lookup.state);
  ++context_.counters.streamsNotContinued;
  context_.log.logRefusal(
      "stream_not_continued", {request_.programId, reason},
      {{"request", request_.requestId},
       {"program", request_.programId},
       {"resumes", request_.resumedRequestId},
       {"after_event", request_.lastEventId},
       {"reason", reason},
       {"service", origin == nullptr ? checked_.service : origin->service},
       {"software_version", origin == nullptr ? std::string() : origin->softwareVersion},
       {"asked_nodes", std::uint64_t{lookup.asked}},
       {"answered_nodes", std::uint64_t{lookup.answered}},
       {"waited_ms", millisecondsUntil(context_.clock())}});
  // No delay before a retry: waiting does not bring the stream back, the client begins a new one.
  refuse({kUnavailable, std::string(reason), Duration::zero()});
}

// The registration of a process that took over the replica's id is read after its first events may
// have come. Then the origin is recorded a second time: the records disagree, and the stream is not
// continued.
bool Exchange::keepStreamOrigin() {
  followRestartedReplica();
  const std::string& version = replica_->entry.softwareVersion;
  if (softwareVersion_ && version != *softwareVersion_) {
    const bool wroteAllEvents = eventsBeforeDispatch_ == 0 && !continuesStream();
    if (!wroteAllEvents) {
      abortAnswer(std::string(
          routing::exclusionReasonName(routing::ExclusionReason::OtherSoftwareVersion)));
      return false;
    }
    originRecorded_ = false;
  }
  softwareVersion_ = version;
  if (!originRecorded_) {
    originRecorded_ = true;
    recordStreamOrigin();
  }
  return true;
}

void Exchange::recordStreamOrigin() {
  if (context_.streamOrigins == nullptr || !checked_.route->resumable) {
    return;
  }
  context_.streamOrigins->record(streamId(), {checked_.service, *softwareVersion_},
                                 streamLifetime());
}

}  // namespace gorsetrail::edge
