#include "node/core/call_runner.h"

#include <algorithm>
#include <utility>

#include "node/core/prompt_prefix.h"

namespace gorsetrail::node {
namespace {

/// Programs whose last replica is remembered.
constexpr std::size_t kRememberedPrograms = 2048;
constexpr unsigned kStatusTooManyRequests = 429;
constexpr unsigned kStatusUnavailable = 503;

}  // namespace

CallRunner::Call::Call(CheckedCall checked, const engine::RetryKnobs& knobs,
                       engine::RetryBudget& budget, RandomSource& random)
    : tenant(checked.admission.key.tenant),
      work(std::move(checked.work)),
      reservedTokens(checked.reservedTokens),
      program(programIdOf(checked.admission.key)),
      machine(std::move(checked.plan), knobs, budget, random) {}

CallRunner::CallRunner(std::string zone, std::uint64_t seed, std::size_t configuredNodes,
                       scheduling::SchedulingPolicyPtr policy, const engine::RetryKnobs& knobs)
    : zone_(std::move(zone)),
      random_(seed),
      policy_(std::move(policy)),
      knobs_(knobs),
      retryBudget_(knobs_),
      tenantBudgets_(configuredNodes),
      previous_(kRememberedPrograms) {}

void CallRunner::setBundle(std::shared_ptr<const bundle::Bundle> bundle, Instant now) {
  bundle_ = std::move(bundle);
  std::vector<engine::BackendDescription> descriptions;
  descriptions.reserve(bundle_->backends.size());
  for (const bundle::Backend& backend : bundle_->backends) {
    descriptions.push_back(
        {backend.name, backend.zone, backend.address, backend.model, backend.leaving});
  }
  backends_.update(descriptions, now);
  tenantBudgets_.update(*bundle_, now);
}

std::optional<Error> CallRunner::submit(CheckedCall checked, Instant now) {
  const std::string& tenant = checked.admission.key.tenant;
  if (auto error = tenantBudgets_.reserve(tenant, checked.reservedTokens, now)) {
    return error;
  }
  retryBudget_.earn(now);
  const CallHandle handle = checked.plan.handle;
  const program::CallAdmission admission = std::move(checked.admission);
  checked.admission.key = admission.key;
  auto call = std::make_unique<Call>(std::move(checked), knobs_, retryBudget_, random_);
  Call& taken = *calls_.insert_or_assign(handle, std::move(call)).first->second;
  notePrompt(taken, admission);
  taken.machine.onSubmitted(now);
  perform(taken, now);
  return std::nullopt;
}

void CallRunner::onAdmitted(const program::CallAdmitted& admitted, Instant now) {
  const auto found = calls_.find(admitted.handle);
  if (found != calls_.end()) {
    found->second->attainedTokens = admitted.programAttainedTokens;
    found->second->epoch = admitted.dispatch.epoch;
    holds_.onCallStarted(found->second->program, admitted.dispatch.epoch, found->second->work, now);
    found->second->machine.onAdmitted(admitted.dispatch, now);
    perform(*found->second, now);
  }
}

void CallRunner::onReplayed(const program::CallReplayed& replayed, Instant now) {
  const auto found = calls_.find(replayed.handle);
  if (found != calls_.end()) {
    found->second->machine.onReplayed(replayed.answer, now);
    perform(*found->second, now);
  }
}

void CallRunner::onProgramRefused(const program::CallRefused& refused, Instant now) {
  const auto found = calls_.find(refused.handle);
  if (found != calls_.end()) {
    const ErrorKind kind = refused.error.kind;
    if (kind == ErrorKind::StaleEpoch || kind == ErrorKind::ProgramOwnedElsewhere) {
      holds_.onSuperseded(found->second->program, now);
    }
    found->second->machine.onProgramRefused(refused.error, now);
    perform(*found->second, now);
  }
}

void CallRunner::onOutcomeRecorded(const program::OutcomeRecorded& recorded, Instant now) {
  const auto found = calls_.find(recorded.handle);
  if (found != calls_.end()) {
    found->second->machine.onOutcomeRecorded(recorded.durability, now);
    perform(*found->second, now);
  }
}

void CallRunner::onDispatchEvent(CallHandle handle, const engine::DispatchEvent& event,
                                 Instant now) {
  const auto found = calls_.find(handle);
  if (found == calls_.end()) {
    ++counters_.lateEventsDropped;
    return;
  }
  Call& call = *found->second;
  if (call.machine.onDispatchEvent(event, now)) {
    // Before the actions are performed: they may choose a replica again.
    noteAtBackend(call, event, now);
  }
  perform(call, now);
}

void CallRunner::onCallerGone(CallHandle handle, Instant now) {
  const auto found = calls_.find(handle);
  if (found != calls_.end()) {
    found->second->machine.onCallerGone(now);
    perform(*found->second, now);
  }
}

void CallRunner::onProgramEnded(ProgramId program, Instant now) {
  previous_.forget(program);
  holds_.onProgramClosed(program, now);
}

void CallRunner::onHoldResult(const engine::HoldResult& result, Instant now) {
  holds_.onResult(result, now);
}

void CallRunner::onHoldInventory(const engine::HoldInventory& inventory, Instant now) {
  holds_.onInventory(inventory, now);
}

void CallRunner::beginStop(Instant now) { holds_.beginStop(now); }

void CallRunner::onTick(Instant now) {
  holds_.onTick(now);
  if (now < nextWake_) {
    return;
  }
  nextWake_ = Instant::max();
  std::vector<CallHandle> due;
  for (const auto& [handle, call] : calls_) {
    if (call->machine.wakeAt() <= now) {
      due.push_back(handle);
    } else {
      nextWake_ = std::min(nextWake_, call->machine.wakeAt());
    }
  }
  // The order of a hash map must not decide anything: the lab repeats runs by their seed.
  std::sort(due.begin(), due.end());
  for (const CallHandle handle : due) {
    Call& call = *calls_.at(handle);
    call.machine.onTick(now);
    perform(call, now);
  }
}

void CallRunner::noteAtBackend(Call& call, const engine::DispatchEvent& event, Instant now) {
  if (call.occupied.empty() || std::holds_alternative<engine::DispatchChunk>(event)) {
    return;
  }
  const std::string name = std::exchange(call.occupied, {});
  if (const auto* const refused = std::get_if<engine::DispatchRefused>(&event)) {
    const bool full =
        refused->status == kStatusTooManyRequests || refused->status == kStatusUnavailable;
    backends_.onRefused(name, full, now);
    if (refused->leaving) {
      backends_.setLeaving(name, true, now);
      leavingBackends_.push_back(name);
    }
  } else if (std::holds_alternative<engine::DispatchFinished>(event)) {
    backends_.onSucceeded(name);
  } else {
    backends_.onFailed(name, now);
  }
}

void CallRunner::perform(Call& call, Instant now) {
  performActions(call, now);
  countFigures(call);
  nextWake_ = std::min(nextWake_, call.machine.wakeAt());
  if (call.machine.isOver()) {
    end(call, now);
  }
}

void CallRunner::performActions(Call& call, Instant now) {
  std::vector<engine::CallAction> actions = call.machine.takeActions();
  while (!actions.empty()) {
    for (engine::CallAction& action : actions) {
      std::visit([&](auto& alternative) { perform(call, alternative, now); }, action);
    }
    actions = call.machine.takeActions();
  }
}

engine::CandidateSet CallRunner::candidatesOf(const Call& call, Instant now) const {
  const bundle::Work* const work = bundle_->findWork(call.work);
  if (work == nullptr) {
    return {};  // A newer bundle dropped the work.
  }
  const std::vector<std::string>& tried = call.machine.triedReplicas();
  engine::CandidateSet others = backends_.candidates(work->backends, tried, now);
  if (!others.usable.empty() || tried.empty() || !call.machine.plan().repeatable) {
    return others;
  }
  return backends_.candidates(work->backends, {}, now);
}

scheduling::CallDescription CallRunner::describe(
    const Call& call, std::vector<scheduling::ReplicaIndex> candidates,
    const std::optional<engine::PreviousReplica>& previous) const {
  const engine::CallPlan& plan = call.machine.plan();
  scheduling::CallDescription description;
  description.program = call.program;
  description.zone = zone_;
  description.promptTokens = plan.promptTokens;
  description.maximumTokens = plan.maximumTokens;
  description.priorityLevel = plan.priorityLevel;
  description.programAttainedTokens = call.attainedTokens;
  description.latencyWeight = bundle_->latencyWeight;
  description.candidates = std::move(candidates);
  if (previous) {
    description.previous = backends_.indexOfHash(previous->backendHash);
  }
  return description;
}

void CallRunner::perform(Call& call, const engine::ChooseReplica&, Instant now) {
  engine::CandidateSet candidates = candidatesOf(call, now);
  if (candidates.usable.empty()) {
    call.machine.onNoReplica(candidates.usableAt, now);
    return;
  }
  const auto previous = previous_.find(call.program);
  const auto& view = backends_.view(candidates.usable, previous, now);
  const auto choice =
      policy_->choose(describe(call, std::move(candidates.usable), previous), view, random_);
  if (!choice) {
    call.machine.onNoReplica(candidates.usableAt, now);
    return;
  }
  const engine::BackendDescription& chosen = backends_.description(choice->replica);
  call.machine.onReplicaChosen({chosen.name, chosen.address}, now);
}

void CallRunner::perform(Call& call, const engine::RecordOutcome& action, Instant now) {
  tenantBudgets_.settle(call.tenant, call.reservedTokens, action.outcome.usedTokens, now);
  outcomes_.push_back({call.machine.plan().handle, action.outcome});
  call.reservedTokens = 0;
}

void CallRunner::perform(Call& call, engine::StartDispatch& action, Instant now) {
  call.occupied = action.backendName;
  backends_.onDispatched(action.backendName, now);
  commands_.emplace_back(std::move(action));
}

void CallRunner::perform(Call& call, engine::CancelDispatch& action, Instant) {
  if (!call.occupied.empty()) {
    backends_.onCancelled(std::exchange(call.occupied, {}));
  }
  commands_.emplace_back(std::move(action));
}

void CallRunner::perform(Call&, engine::AnswerChunk& action, Instant) {
  commands_.emplace_back(std::move(action));
}

void CallRunner::perform(Call& call, engine::AnswerCompleted& action, Instant now) {
  if (action.replayed) {
    ++counters_.callsReplayed;
  } else {
    counters_.promptTokens += action.promptTokens;
    counters_.cachedTokens += action.cachedTokens;
    counters_.completionTokens += action.completionTokens;
    previous_.remember(call.program, {engine::backendHashOf(action.backendName),
                                      action.promptTokens + action.completionTokens});
    holdPrefix(call, action, now);
  }
  commands_.emplace_back(std::move(action));
}

void CallRunner::perform(Call&, engine::AnswerRefused& action, Instant) {
  commands_.emplace_back(std::move(action));
}

void CallRunner::notePrompt(Call& call, const program::CallAdmission& admission) const {
  const engine::CallPlan& plan = call.machine.plan();
  // A sub-agent's prefix is not that of the program's next call.
  const bool isRoot = admission.branchPath.empty();
  const bool isWorth =
      holds_.isWorthHolding(plan.promptTokens + plan.maximumTokens, plan.priorityLevel);
  if (isRoot && isWorth && !plan.application) {
    call.prompt = promptPrefixOf(plan.model, plan.adapter, admission.messages);
  }
}

// Called once the outcome stands on a quorum: only then is it certain that this node owns the
// program in this epoch.
void CallRunner::holdPrefix(const Call& call, const engine::AnswerCompleted& answer, Instant now) {
  const auto backend = backends_.indexOf(answer.backendName);
  if (!call.prompt || !backend) {
    return;
  }
  engine::FinishedCall finished;
  finished.program = call.program;
  finished.epoch = call.epoch;
  finished.backendName = answer.backendName;
  finished.address = backends_.description(*backend).address;
  finished.prefix = prefixWithAnswer(*call.prompt, answer.answer);
  finished.prefixTokens = answer.promptTokens + answer.completionTokens;
  finished.priorityLevel = call.machine.plan().priorityLevel;
  holds_.onCallFinished(finished, now);
}

void CallRunner::countFigures(Call& call) {
  const engine::CallFigures& figures = call.machine.figures();
  counters_.dispatches += figures.dispatches - call.counted.dispatches;
  counters_.retries += figures.retries - call.counted.retries;
  counters_.lateEventsDropped += figures.lateEventsDropped - call.counted.lateEventsDropped;
  call.counted = figures;
}

void CallRunner::countEnd(const Call& call) {
  switch (call.machine.state()) {
    case engine::CallState::Completed:
      ++counters_.callsCompleted;
      return;
    case engine::CallState::Unknown:
      ++counters_.callsUnknown;
      return;
    default:
      ++counters_.callsRefused;
      return;
  }
}

void CallRunner::end(Call& call, Instant now) {
  countEnd(call);
  // Refused or replayed before any outcome: nothing of the reservation was used.
  tenantBudgets_.settle(call.tenant, call.reservedTokens, 0, now);
  holds_.onCallEnded(call.program, call.epoch, now);
  calls_.erase(call.machine.plan().handle);
}

void CallRunner::addTo(NodeCounters& counters) const {
  counters.callsCompleted += counters_.callsCompleted;
  counters.callsReplayed += counters_.callsReplayed;
  counters.callsRefused += counters_.callsRefused;
  counters.callsUnknown += counters_.callsUnknown;
  counters.dispatches += counters_.dispatches;
  counters.retries += counters_.retries;
  counters.lateEventsDropped += counters_.lateEventsDropped;
  counters.promptTokens += counters_.promptTokens;
  counters.cachedTokens += counters_.cachedTokens;
  counters.completionTokens += counters_.completionTokens;
  counters.callsUnderWay = calls_.size();
  const engine::HoldCounters holds = holds_.counters();
  counters.holdsPlaced = holds.placed;
  counters.holdsRenewed = holds.renewed;
  counters.holdsReleased = holds.released;
  counters.holdsReaped = holds.reaped;
  counters.holdsExpired = holds.expired;
  counters.holdsRefused = holds.refused;
  counters.holdOrdersFailed = holds.failed;
  counters.holdsHeld = holds.held;
}

std::vector<NodeCommand> CallRunner::takeCommands() {
  for (engine::HoldCommand& command : holds_.takeCommands()) {
    std::visit([this](auto& order) { commands_.emplace_back(std::move(order)); }, command);
  }
  return std::exchange(commands_, {});
}

std::vector<CallRunner::OutcomeToRecord> CallRunner::takeOutcomes() {
  return std::exchange(outcomes_, {});
}

std::vector<std::string> CallRunner::takeLeavingBackends() {
  return std::exchange(leavingBackends_, {});
}

}  // namespace gorsetrail::node
