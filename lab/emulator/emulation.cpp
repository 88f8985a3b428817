#include "lab/emulator/emulation.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace gorsetrail::emulator {
namespace {

constexpr std::string_view kClairvoyantLatency = "clairvoyant-latency";
constexpr std::string_view kClairvoyantCache = "clairvoyant-cache";
constexpr std::string_view kProductPolicy = "prefix-affinity";

/// After the last arrival the run goes on for so long at most; what has not ended is unfinished.
constexpr Duration kDrainTime = seconds(7200);
/// Seconds of keeping one token that its recomputation is worth. Well above the usual pauses, so
/// that nearly every live program is held, and what ended programs leave behind is evicted first.
constexpr Duration kRetentionWorth = seconds(1000);
/// The bound's next use of a prefix whose program waits for a sub-agent.
constexpr Duration kSubAgentForesight = seconds(5);

enum class ContentKind : std::uint64_t { System = 1, Document = 2, Turn = 3 };

std::uint64_t contentId(ContentKind kind, std::uint64_t first, std::uint64_t second = 0) {
  return streamSeed(streamSeed(static_cast<std::uint64_t>(kind), first), second);
}

ProgramId programIdOfIndex(std::uint32_t program) {
  return programIdOf({"zone", "tenant", std::to_string(program)});
}

bool isClairvoyant(std::string_view policy) {
  return policy == kClairvoyantLatency || policy == kClairvoyantCache;
}

std::uint32_t programOf(std::string_view requestId) {
  std::uint32_t program = 0;
  std::from_chars(requestId.data(), requestId.data() + requestId.size(), program);
  return program;
}

}  // namespace

std::vector<std::string_view> emulatedPolicies() {
  std::vector<std::string_view> names = scheduling::policyNames();
  names.push_back(kClairvoyantLatency);
  names.push_back(kClairvoyantCache);
  return names;
}

Emulation::Emulation(const Workload& workload, const EmulationOptions& options)
    : workload_(workload),
      options_(options),
      clairvoyant_(isClairvoyant(options.policy)),
      retains_(options.retention && options.policy == kProductPolicy),
      plans_(drawPrograms(workload, options.load, options.seed)),
      programs_(plans_.size(), Program(workload.engine.blockTokens)),
      engines_(workload.replicas, enginemodel::EngineModel(workload.engine)),
      wakeVersions_(workload.replicas, 0),
      eventSequences_(workload.replicas, 0),
      lastReports_(workload.replicas),
      losses_(streamSeed(options.seed, 4)) {
  const std::string_view placement = clairvoyant_ ? kProductPolicy : options.policy;
  for (std::uint32_t node = 0; node < workload.nodes; ++node) {
    nodes_.emplace_back(workload, placement, streamSeed(options.seed, 100 + node));
  }
  planners_.assign(workload.nodes, scheduling::RetentionPlanner(kRetentionWorth));
  measures_.tenantSlowdownSum.resize(workload.tenants, 0.0);
  measures_.tenantPrograms.resize(workload.tenants, 0);
}

Figures Emulation::run() {
  for (const ProgramPlan& plan : plans_) {
    if (plan.parent) {
      continue;
    }
    events_.add(plan.arrival, EventKind::CallDue, plan.index);
    ++programsLeft_;
    if (clairvoyant_) {
      foresight_.setNextCall(plan.index, plan.arrival);
      beginContext(plan.index);
    }
  }
  if (options_.policy == kClairvoyantCache) {
    for (enginemodel::EngineModel& engine : engines_) {
      engine.cache().setNextUseOracle(
          [this](scheduling::PrefixHash prefix) { return foresight_.nextUse(prefix); });
    }
  }
  events_.add(Instant(workload_.reportInterval), EventKind::ReportsArrive, 0);
  const Instant limit(workload_.duration + kDrainTime);
  while (!events_.empty() && programsLeft_ > 0 && now_ < limit) {
    const Event event = events_.take();
    now_ = event.at;
    handle(event);
  }
  recordUnfinished();
  return collectFigures();
}

void Emulation::handle(const Event& event) {
  switch (event.kind) {
    case EventKind::CallDue:
      return startCall(event.subject);
    case EventKind::RequestArrives:
      return requestArrives(event);
    case EventKind::AnswerArrives:
      return answerArrives(event);
    case EventKind::PauseEnds:
      return oneWaitLess(event.subject);
    case EventKind::PatienceExpires:
      return patienceExpires(event);
    case EventKind::EngineWakes:
      if (event.number == wakeVersions_[event.subject]) {
        wake(event.subject);
      }
      return;
    case EventKind::ReportsArrive:
      return deliverReports();
  }
}

DecisionNode& Emulation::nodeOf(std::uint32_t program) { return nodes_[plans_[program].node]; }

enginemodel::EngineModel& Emulation::engineOf(std::uint32_t program) {
  return engines_[programs_[program].replica->value()];
}

std::uint32_t Emulation::rootOf(std::uint32_t program) const {
  return plans_[program].parent.value_or(program);
}

std::string Emulation::requestId(std::uint32_t program) const {
  return std::to_string(program) + "." + std::to_string(programs_[program].call);
}

void Emulation::beginContext(std::uint32_t program) {
  const ProgramPlan& plan = plans_[program];
  PromptContext& context = programs_[program].context;
  if (context.tokens() > 0) {
    return;
  }
  context.append(contentId(ContentKind::System, plan.classIndex),
                 workload_.classes[plan.classIndex].systemTokens);
  if (plan.document) {
    context.append(contentId(ContentKind::Document, *plan.document), plan.documentTokens);
  }
  if (clairvoyant_) {
    foresee(program);
  }
}

void Emulation::foresee(std::uint32_t program) {
  Program& state = programs_[program];
  foresight_.addUser(program, state.context.chain(), state.foreseenBlocks);
  state.foreseenBlocks = state.context.chain().size();
}

void Emulation::startCall(std::uint32_t program) {
  Program& state = programs_[program];
  if (programs_[rootOf(program)].ended) {
    return;
  }
  const TurnPlan& turn = plans_[program].turns[state.turn];
  if (!state.started) {
    state.started = true;
    state.firstCallAt = now_;
  }
  ++state.call;
  state.callAt = now_;
  state.underWay = true;
  beginContext(program);
  state.context.append(contentId(ContentKind::Turn, program, 2 * state.turn), turn.messageTokens);
  state.promptTokens = state.context.tokens();
  if (clairvoyant_) {
    foresight_.setNextCall(program, now_);
    showTruth(program);
  }
  placeCall(program);
  events_.add(now_ + workload_.oneWayDelay, EventKind::RequestArrives, program, state.call);
  const Duration patience = plans_[program].patience;
  if (patience.count() > 0) {
    events_.add(now_ + patience, EventKind::PatienceExpires, program, state.call);
  }
}

void Emulation::placeCall(std::uint32_t program) {
  Program& state = programs_[program];
  const ProgramPlan& plan = plans_[program];
  const ProgramClass& kind = workload_.classes[plan.classIndex];
  if (state.turn > 0) {
    planners_[plan.node].returned(kind.name, now_ - state.answerAt);
  }
  const scheduling::ReplicaIndex chosen =
      nodes_[plan.node].place({programIdOfIndex(program), state.promptTokens, kind.priority,
                               state.attainedTokens, state.replica, state.context.marks()},
                              now_);
  if (state.replica && *state.replica != chosen) {
    releasePrefix(program);
  }
  state.replica = chosen;
}

std::size_t Emulation::knownBlocks(const Program& program) const {
  const auto& chain = program.context.chain();
  // A prefix is only ever computed after all shorter ones, so the known part is the beginning.
  const auto unknown = std::partition_point(
      chain.begin(), chain.end(),
      [this](scheduling::PrefixHash prefix) { return computedBefore_.contains(prefix); });
  return static_cast<std::size_t>(unknown - chain.begin());
}

std::uint32_t Emulation::enginePriority(std::uint32_t program) const {
  const ProgramPlan& plan = plans_[program];
  if (options_.policy != kClairvoyantLatency) {
    return workload_.classes[plan.classIndex].priority;
  }
  // Shortest remaining program first, by the true lengths of the whole tree.
  const std::uint32_t root = rootOf(program);
  const std::uint64_t remaining = plans_[root].newTokensFrom(programs_[root].turn);
  constexpr std::uint64_t kHighest = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(kHighest - std::min(kHighest, remaining));
}

void Emulation::requestArrives(const Event& event) {
  Program& state = programs_[event.subject];
  if (state.call != event.number || !state.underWay) {
    return;
  }
  const std::uint32_t blockTokens = workload_.engine.blockTokens;
  const auto known = static_cast<std::uint32_t>(knownBlocks(state)) * blockTokens;
  const std::uint32_t usable = (state.promptTokens - 1) / blockTokens * blockTokens;
  state.knownTokens = std::min(known, usable);
  const std::uint32_t answerTokens = plans_[event.subject].turns[state.turn].answerTokens;
  state.context.append(contentId(ContentKind::Turn, event.subject, 2 * state.turn + 1),
                       answerTokens);
  if (clairvoyant_) {
    foresee(event.subject);
  }
  const std::uint32_t engine = state.replica->value();
  engines_[engine].submit({requestId(event.subject), state.context.chain(), state.promptTokens,
                           answerTokens, enginePriority(event.subject)},
                          now_);
  scheduleWake(engine);
}

void Emulation::scheduleWake(std::uint32_t engine) {
  const std::uint64_t version = ++wakeVersions_[engine];
  if (const auto next = engines_[engine].nextStepAt()) {
    events_.add(std::max(*next, now_), EventKind::EngineWakes, engine, version);
  }
}

void Emulation::wake(std::uint32_t engine) {
  for (const enginemodel::EngineEvent& event : engines_[engine].advance(now_)) {
    take(engine, event);
  }
  scheduleWake(engine);
}

void Emulation::take(std::uint32_t /*engine*/, const enginemodel::EngineEvent& event) {
  if (const auto* token = std::get_if<enginemodel::TokenEmitted>(&event)) {
    firstToken(programOf(token->id));
    return;
  }
  const auto& finished = std::get<enginemodel::RequestFinished>(event);
  if (!finished.cancelled) {
    requestFinished(programOf(finished.id), finished);
  }
}

void Emulation::requestFinished(std::uint32_t program,
                                const enginemodel::RequestFinished& finished) {
  Program& state = programs_[program];
  const auto& chain = state.context.chain();
  computedBefore_.insert(chain.begin(), chain.end());
  state.attainedTokens +=
      finished.usage.promptTokens - finished.usage.cachedTokens + finished.usage.completionTokens;
  if (measured(program)) {
    const std::uint32_t known = std::max(state.knownTokens, finished.usage.cachedTokens);
    ++measures_.calls;
    measures_.promptTokens += finished.usage.promptTokens;
    measures_.cachedTokens += finished.usage.cachedTokens;
    measures_.recomputedTokens += known - finished.usage.cachedTokens;
  }
  events_.add(now_ + workload_.oneWayDelay, EventKind::AnswerArrives, program, state.call);
}

void Emulation::answerArrives(const Event& event) {
  Program& state = programs_[event.subject];
  if (!state.underWay || state.call != event.number) {
    return;
  }
  state.underWay = false;
  state.answerAt = now_;
  nodeOf(event.subject).callEnded(*state.replica, state.context.marks());
  holdPrefix(event.subject);
  endTurn(event.subject);
}

void Emulation::endTurn(std::uint32_t program) {
  Program& state = programs_[program];
  const TurnPlan& turn = plans_[program].turns[state.turn];
  ++state.turn;
  if (state.turn == plans_[program].turns.size()) {
    return endProgram(program);
  }
  state.waitingFor = 1 + static_cast<std::uint32_t>(turn.subAgents.size());
  state.toolTime += turn.toolPause;
  foresight_.setNextCall(
      program,
      now_ + std::max(turn.toolPause, turn.subAgents.empty() ? Duration{} : kSubAgentForesight));
  for (const std::uint32_t subAgent : turn.subAgents) {
    events_.add(now_, EventKind::CallDue, subAgent);
  }
  events_.add(now_ + turn.toolPause, EventKind::PauseEnds, program);
}

void Emulation::oneWaitLess(std::uint32_t program) {
  if (programs_[program].ended) {
    return;
  }
  if (--programs_[program].waitingFor == 0) {
    startCall(program);
  }
}

void Emulation::endProgram(std::uint32_t program) {
  programs_[program].ended = true;
  foresight_.setNextCall(program, Foresight::kNever);
  const ProgramPlan& plan = plans_[program];
  if (!plan.abandoned) {
    // The caller closes the program; of an abandoned one nobody hears again.
    releasePrefix(program);
    planners_[plan.node].ended(workload_.classes[plan.classIndex].name);
  }
  if (plan.parent) {
    return oneWaitLess(*plan.parent);
  }
  --programsLeft_;
  if (!measured(program)) {
    return;
  }
  if (plan.abandoned) {
    ++measures_.abandonedPrograms;
    return;
  }
  ++measures_.completedPrograms;
  recordLatency(program);
}

void Emulation::patienceExpires(const Event& event) {
  const Program& state = programs_[event.subject];
  if (state.underWay && state.call == event.number) {
    leave(event.subject);
  }
}

void Emulation::leave(std::uint32_t program) {
  Program& state = programs_[program];
  state.underWay = false;
  state.ended = true;
  --programsLeft_;
  foresight_.setNextCall(program, Foresight::kNever);
  nodeOf(program).callDropped(*state.replica);
  engineOf(program).cancel(requestId(program), now_);
  releasePrefix(program);
  scheduleWake(state.replica->value());
  if (measured(program)) {
    ++measures_.leftPrograms;
    // Its latency is at least the time until now.
    recordLatency(program);
  }
}

void Emulation::holdPrefix(std::uint32_t program) {
  const ProgramPlan& plan = plans_[program];
  const Duration time = planners_[plan.node].holdTime(workload_.classes[plan.classIndex].name);
  const auto& chain = programs_[program].context.chain();
  if (!retains_ || time.count() == 0 || chain.empty()) {
    return;
  }
  const std::string name = std::to_string(program);
  engineOf(program).placeHold({name, name, Epoch(1), chain.back(), now_ + time}, now_);
}

void Emulation::releasePrefix(std::uint32_t program) {
  if (retains_) {
    engineOf(program).removeHold(std::to_string(program), now_);
  }
}

}  // namespace gorsetrail::emulator
