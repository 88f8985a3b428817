#include "node/core/composed_node_core.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gorsetrail::node {
namespace {

constexpr std::string_view kGeneratedKeyPrefix = "generated-";
/// Rounds of commands that one event may cause; the rest waits for the next event or tick.
constexpr std::size_t kMaximumRounds = 64;
constexpr Duration kBundleFetchInterval = milliseconds(500);
constexpr std::uint32_t kStoppingRetryAfterSeconds = 1;
constexpr std::uint32_t kNoBundleRetryAfterSeconds = 2;

/// \return a request id of this node's own making, for a repeatable call without one.
std::string makeRequestId(const NodeOptions& options, CallHandle handle) {
  return std::string(kGeneratedKeyPrefix) + std::to_string(options.self.value()) + "-" +
         std::to_string(options.incarnation.value()) + "-" + std::to_string(handle.value());
}

}  // namespace

ComposedNodeCore::ComposedNodeCore(NodeOptions options, NodeServices services)
    : options_(std::move(options)),
      membership_(std::move(services.membership)),
      groups_(options_.members),
      liveness_(options_.self, options_.incarnation, *membership_),
      program_(services.makeProgram(liveness_, groups_)),
      bundles_(options_.site, options_.trustAnchors),
      runner_(options_.zone, options_.seed, options_.members.size(), std::move(services.policy)),
      observation_(options_.self, options_.zone, options_.seed),
      log_(options_.self, options_.incarnation, options_.seed) {}

void ComposedNodeCore::refuse(CallHandle handle, bool certainlyNew, Error error) {
  // The journal was not asked: an earlier call with the same request id may have run, so a
  // passing refusal cannot say that the request did not run, unless it had no id.
  if (!certainlyNew && error.retryAfterSeconds > 0) {
    error.outcome = RunOutcome::OutcomeUnknown;
  }
  ++counters_.callsRefused;
  commands_.emplace_back(engine::AnswerRefused{handle, std::move(error)});
}

void ComposedNodeCore::onCall(engine::CallRequest request, Instant now) {
  ++counters_.callsArrived;
  const CallHandle handle = request.handle;
  const bool certainlyNew = request.idempotencyKey.empty();
  if (stopping_) {
    refuse(handle, certainlyNew,
           {ErrorKind::NodeStopping, "", "this node is stopping",
            "ask another node with the same request id", RunOutcome::NotRun,
            kStoppingRetryAfterSeconds});
    return;
  }
  const auto bundle = bundles_.inForce();
  if (!bundle) {
    refuse(handle, certainlyNew,
           {ErrorKind::BundleNotInForce, "", "this node has no bundle in force yet",
            "ask again with the same request id; if it lasts, have an operator publish a bundle",
            RunOutcome::NotRun, kNoBundleRetryAfterSeconds});
    return;
  }
  Result<CheckedCall> checked = checkCall(std::move(request), *bundle, now);
  if (!succeeded(checked)) {
    refuse(handle, certainlyNew, errorOf(checked));
    return;
  }
  if (certainlyNew) {
    valueOf(checked).plan.certainlyNew = true;
    valueOf(checked).admission.idempotencyKey = makeRequestId(options_, handle);
  }
  valueOf(checked).plan.request = requestDigestOf(valueOf(checked).admission.idempotencyKey);
  takeCall(std::move(valueOf(checked)), now);
  settle(now);
}

void ComposedNodeCore::takeCall(CheckedCall checked, Instant now) {
  const program::CallAdmission admission = checked.admission;
  const bool certainlyNew = checked.plan.certainlyNew;
  if (auto error = runner_.submit(std::move(checked), now)) {
    refuse(admission.handle, certainlyNew, *std::move(error));
    return;
  }
  program_->admitCall(admission, now);
}

void ComposedNodeCore::onCallerGone(CallHandle handle, Instant now) {
  runner_.onCallerGone(handle, now);
  settle(now);
}

void ComposedNodeCore::onCloseProgram(CallHandle handle, const ProgramKey& key, Instant now) {
  const ProgramId program = programIdOf(key);
  closing_[program].push_back(handle);
  closingByHandle_[handle] = program;
  program_->closeProgram(handle, key, now);
  settle(now);
}

void ComposedNodeCore::endProgram(ProgramId program, Instant now) {
  runner_.onProgramEnded(program, now);
  const auto found = closing_.find(program);
  if (found == closing_.end()) {
    return;
  }
  for (const CallHandle handle : found->second) {
    closingByHandle_.erase(handle);
    commands_.emplace_back(CloseCompleted{handle});
  }
  closing_.erase(found);
}

void ComposedNodeCore::onDispatchEvent(CallHandle handle, const engine::DispatchEvent& event,
                                       Instant now) {
  runner_.onDispatchEvent(handle, event, now);
  settle(now);
}

void ComposedNodeCore::onPeerMessage(NodeId from, const PeerMessage& message, Instant now) {
  if (const auto* const journal = std::get_if<program::JournalMessage>(&message)) {
    program_->onJournalMessage(from, *journal, now);
  } else if (const auto* const gossip = std::get_if<membership::MembershipMessage>(&message)) {
    membership_->onMembershipMessage(from, *gossip, now);
  } else if (const auto* const bundle = std::get_if<bundle::DistributionMessage>(&message)) {
    handle(from, *bundle, now);
  } else if (const auto* const load = std::get_if<engine::ObservationMessage>(&message)) {
    runner_.backends().onDigest(std::get<engine::LoadDigest>(*load), now);
  }
  settle(now);
}

void ComposedNodeCore::handle(NodeId from, const bundle::DistributionMessage& message,
                              Instant now) {
  if (const auto* const request = std::get_if<bundle::BundleFetchRequest>(&message)) {
    bundle::BundleFetchReply reply;
    const auto bundle = bundles_.inForce();
    if (bundle && bundle->version > request->have) {
      reply.version = bundle->version;
      reply.envelope = bundles_.envelope();
    }
    commands_.emplace_back(SendPeerMessage{from, bundle::DistributionMessage(std::move(reply))});
    return;
  }
  const auto& reply = std::get<bundle::BundleFetchReply>(message);
  if (!reply.envelope.empty() && succeeded(bundles_.offerFromPeer(reply.envelope))) {
    useBundle(now);
  }
}

void ComposedNodeCore::fetchBundle(NodeId peer, Instant now) {
  // Every message of a peer ahead says so: one question at a time is enough.
  if (now < nextBundleFetch_) {
    return;
  }
  nextBundleFetch_ = now + kBundleFetchInterval;
  const auto bundle = bundles_.inForce();
  const bundle::BundleFetchRequest request{bundle ? bundle->version : BundleVersion{}};
  commands_.emplace_back(SendPeerMessage{peer, bundle::DistributionMessage(request)});
}

void ComposedNodeCore::onBundleEnvelope(std::string_view envelope, Instant now) {
  if (succeeded(bundles_.offerFromLog(envelope))) {
    useBundle(now);
  }
  settle(now);
}

void ComposedNodeCore::useBundle(Instant now) {
  const auto bundle = bundles_.inForce();
  runner_.setBundle(bundle, now);
  membership_->setActiveBundleVersion(bundle->version);
  observationStale_ = true;
}

void ComposedNodeCore::updateObservation() {
  const auto bundle = bundles_.inForce();
  if (observationStale_ && bundle) {
    observation_.update(*bundle, *membership_);
    observationStale_ = false;
  }
}

void ComposedNodeCore::onMachineList(const std::vector<membership::MachineListEntry>& lines,
                                     Instant now) {
  membership_->onMachineList(lines, now);
  settle(now);
}

void ComposedNodeCore::onBackendReport(const BackendReport& report, Instant now) {
  engine::BackendTable& backends = runner_.backends();
  if (!report.reachable) {
    backends.onUnreachable(report.backendName, now);
    return;
  }
  backends.onReport(report.backendName,
                    {report.runningStreams, report.queuedRequests, report.cacheUsedPerMille, now});
  const bool known = backends.isLeaving(report.backendName);
  if (report.leaving && !known) {
    backends.setLeaving(report.backendName, true, now);
    membership_->announceBackend(engine::backendHashOf(report.backendName), true, now);
  } else if (!report.leaving && known && backends.mayServeAgain(report.backendName, now)) {
    backends.setLeaving(report.backendName, false, now);
    membership_->announceBackend(engine::backendHashOf(report.backendName), false, now);
  }
  settle(now);
}

void ComposedNodeCore::onLogAppended(std::uint64_t sequence, bool taken, Instant now) {
  log_.onAppended(sequence, taken, now);
}

void ComposedNodeCore::onHoldResult(const engine::HoldResult& result, Instant now) {
  runner_.onHoldResult(result, now);
  settle(now);
}

void ComposedNodeCore::onHoldInventory(const engine::HoldInventory& inventory, Instant now) {
  runner_.onHoldInventory(inventory, now);
  settle(now);
}

void ComposedNodeCore::onTick(Instant now) {
  membership_->onTick(now);
  program_->onTick(now);
  runner_.onTick(now);
  settle(now);
  updateObservation();
  sendDigests(now);
  if (auto append = log_.takeDue(now)) {
    commands_.emplace_back(*std::move(append));
  }
}

void ComposedNodeCore::sendDigests(Instant now) {
  for (const DigestTarget& target : observation_.dueTargets(*membership_, now)) {
    const engine::BackendTable& backends = runner_.backends();
    engine::LoadDigest digest = target.sameZone
                                    ? backends.digestOf(observation_.observedNames(), now)
                                    : backends.digestFor(target.zone, now);
    if (digest.replicas.empty()) {
      continue;
    }
    ++counters_.digestsSent;
    commands_.emplace_back(
        SendPeerMessage{target.node, engine::ObservationMessage(std::move(digest))});
  }
}

void ComposedNodeCore::beginStop(Instant now) {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  program_->beginStop(now);
  runner_.beginStop(now);
  membership_->beginLeave(now);
  settle(now);
}

bool ComposedNodeCore::isDrained() const {
  // What a log that is down did not take stands on the replicas; waiting for it could last hours.
  const bool logWritten = log_.isEmpty() || log_.isFailing();
  return stopping_ && runner_.underWay() == 0 && closing_.empty() && program_->isDrained() &&
         logWritten;
}

void ComposedNodeCore::settle(Instant now) {
  for (std::size_t round = 0; round < kMaximumRounds; ++round) {
    if (!settleOnce(now)) {
      return;
    }
  }
}

bool ComposedNodeCore::settleOnce(Instant now) {
  std::vector<NodeCommand> calls = runner_.takeCommands();
  std::move(calls.begin(), calls.end(), std::back_inserter(commands_));
  for (const std::string& name : runner_.takeLeavingBackends()) {
    membership_->announceBackend(engine::backendHashOf(name), true, now);
  }
  for (const CallRunner::OutcomeToRecord& ended : runner_.takeOutcomes()) {
    program_->recordOutcome(ended.handle, ended.outcome, now);
  }
  std::vector<program::ProgramCommand> programCommands = program_->takeCommands();
  for (program::ProgramCommand& command : programCommands) {
    apply(command, now);
  }
  std::vector<membership::MembershipCommand> memberCommands = membership_->takeCommands();
  for (membership::MembershipCommand& command : memberCommands) {
    apply(command, now);
  }
  return !calls.empty() || !programCommands.empty() || !memberCommands.empty();
}

void ComposedNodeCore::apply(program::ProgramCommand& command, Instant now) {
  if (const auto* const admitted = std::get_if<program::CallAdmitted>(&command)) {
    runner_.onAdmitted(*admitted, now);
  } else if (const auto* const replayed = std::get_if<program::CallReplayed>(&command)) {
    runner_.onReplayed(*replayed, now);
  } else if (const auto* const recorded = std::get_if<program::OutcomeRecorded>(&command)) {
    runner_.onOutcomeRecorded(*recorded, now);
  } else if (const auto* const ended = std::get_if<program::ProgramEnded>(&command)) {
    endProgram(ended->program, now);
  } else if (const auto* const entries = std::get_if<program::AppendToLog>(&command)) {
    log_.add(*entries);
  } else if (auto* const message = std::get_if<program::SendJournalMessage>(&command)) {
    sendJournal(*message, now);
  } else {
    refuseByProgram(std::get<program::CallRefused>(command), now);
  }
}

void ComposedNodeCore::refuseByProgram(const program::CallRefused& refused, Instant now) {
  const auto closing = closingByHandle_.find(refused.handle);
  if (closing == closingByHandle_.end()) {
    runner_.onProgramRefused(refused, now);
    return;
  }
  std::vector<CallHandle>& handles = closing_[closing->second];
  std::erase(handles, refused.handle);
  if (handles.empty()) {
    closing_.erase(closing->second);
  }
  closingByHandle_.erase(closing);
  commands_.emplace_back(engine::AnswerRefused{refused.handle, refused.error});
}

void ComposedNodeCore::sendJournal(program::SendJournalMessage& command, Instant now) {
  if (command.to == options_.self) {
    program_->onJournalMessage(options_.self, command.message, now);
    return;
  }
  commands_.emplace_back(SendPeerMessage{command.to, std::move(command.message)});
}

void ComposedNodeCore::apply(membership::MembershipCommand& command, Instant now) {
  if (auto* const message = std::get_if<membership::SendMembershipMessage>(&command)) {
    commands_.emplace_back(SendPeerMessage{message->to, std::move(message->message)});
  } else if (const auto* const changed = std::get_if<membership::BackendChanged>(&command)) {
    runner_.backends().setLeavingByNotice(changed->notice.backendHash, changed->notice.leaving,
                                          now);
  } else if (const auto* const newer = std::get_if<membership::NewerBundleSeen>(&command)) {
    fetchBundle(newer->peer, now);
  } else {
    observationStale_ = true;
  }
}

std::shared_ptr<const bundle::Bundle> ComposedNodeCore::bundleInForce() const {
  return bundles_.inForce();
}

std::optional<program::ProgramSummary> ComposedNodeCore::programSummary(
    const ProgramKey& key) const {
  return program_->summaryOf(key);
}

const membership::MembershipService& ComposedNodeCore::membership() const { return *membership_; }

NodeCounters ComposedNodeCore::counters() const {
  NodeCounters counters = counters_;
  runner_.addTo(counters);
  const auto bundle = bundles_.inForce();
  counters.bundleVersion = bundle ? bundle->version.value() : 0;
  counters.bundlesRefused = bundles_.refusedCount();
  counters.logEntriesAppended = log_.entriesAppended();
  counters.logEntriesDropped = log_.entriesDropped();
  counters.logQueuedBytes = log_.queuedBytes();
  return counters;
}

std::vector<bundle::Backend> ComposedNodeCore::observedBackends() const {
  return observation_.observed();
}

std::vector<NodeCommand> ComposedNodeCore::takeCommands() { return std::exchange(commands_, {}); }

NodeCorePtr makeNodeCoreOver(NodeOptions options, NodeServices services) {
  return std::make_unique<ComposedNodeCore>(std::move(options), std::move(services));
}

}  // namespace gorsetrail::node
