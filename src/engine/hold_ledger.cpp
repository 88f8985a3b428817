#include "engine/hold_ledger.h"

#include <utility>

#include "program/epochs.h"

namespace gorsetrail::engine {
namespace {

/// \return whether the epoch is not the program's first: another owner may have placed holds.
bool mayHaveFormerOwner(Epoch epoch) { return (epoch.value() >> program::kEpochNodeBits) > 1; }

}  // namespace

std::string holdNameOf(const ProgramId& program, Epoch epoch) {
  return program.toHex() + "." + std::to_string(epoch.value());
}

HoldLedger::Program* HoldLedger::findOwned(const ProgramId& id, Epoch epoch) {
  const auto found = programs_.find(id);
  return found != programs_.end() && found->second.epoch == epoch ? &found->second : nullptr;
}

HoldLedger::Engine& HoldLedger::watch(const std::string& name, const std::string& address,
                                      Instant now) {
  const auto [found, isNew] = engines_.try_emplace(name);
  Engine& engine = found->second;
  engine.address = address;
  if (isNew) {
    engine.readAt = now + knobs_.reconcileInterval;
  }
  engine.watchUntil = now + 2 * knobs_.reconcileInterval;
  wakeAt(engine.readAt);
  return engine;
}

void HoldLedger::onCallStarted(const ProgramId& program, Epoch epoch, const std::string& work,
                               Instant now) {
  auto found = programs_.find(program);
  if (found == programs_.end()) {
    if (stopping_ || programs_.size() >= knobs_.maximumPrograms) {
      return;
    }
    found = programs_.try_emplace(program).first;
    found->second.epoch = epoch;
  }
  Program& record = found->second;
  if (epoch < record.epoch) {
    return;
  }
  if (epoch > record.epoch) {
    // This node lost the program and took it over again: others may have owned it in between.
    releaseHold(program, record, now);
    record = Program{};
    record.epoch = epoch;
  } else if (record.callsUnderWay == 0 && record.pausedAt != Instant{}) {
    planner_.returned(record.work, now - record.pausedAt);
  }
  record.work = work;
  ++record.callsUnderWay;
}

bool HoldLedger::hasRoomFor(const FinishedCall& call, Instant now) const {
  const auto engine = engines_.find(call.backendName);
  const bool engineHasRoom =
      engine == engines_.end() ||
      (engine->second.holds < knobs_.maximumHoldsPerEngine && engine->second.restsUntil <= now);
  return held_ < knobs_.maximumHolds && engineHasRoom;
}

void HoldLedger::onCallFinished(const FinishedCall& call, Instant now) {
  Program* const record = findOwned(call.program, call.epoch);
  if (record == nullptr || stopping_) {
    return;
  }
  // Wherever the former prefix lies, the program does not come back to it.
  if (record->hold && record->hold->backendName != call.backendName) {
    releaseHold(call.program, *record, now);
  }
  record->holdUntil = now + planner_.holdTime(record->work);
  const bool worth = isWorthHolding(call.prefixTokens, call.priorityLevel) &&
                     call.prefix != scheduling::PrefixHash{} && record->holdUntil > now;
  if (!worth) {
    releaseHold(call.program, *record, now);
    return;
  }
  if (!record->hold && !hasRoomFor(call, now)) {
    ++counters_.refused;
    return;
  }
  makeHold(*record, call, now);
  order(call.program, *record, now);
}

void HoldLedger::makeHold(Program& program, const FinishedCall& call, Instant now) {
  Engine& engine = watch(call.backendName, call.address, now);
  if (!program.hold) {
    program.hold.emplace();
    ++engine.holds;
    ++held_;
  }
  program.hold->backendName = call.backendName;
  program.hold->address = call.address;
  program.hold->prefix = call.prefix;
  program.hold->giveUpAt = now + knobs_.deadline;
  ++counters_.placed;
  // A former owner's hold may lie at the same engine, which is the likely one: look at once.
  if (program.mayHavePredecessor && mayHaveFormerOwner(program.epoch)) {
    engine.readAt = now;
    wakeAt(now);
  }
  program.mayHavePredecessor = false;
}

void HoldLedger::order(const ProgramId& id, Program& program, Instant now) {
  WantedHold& hold = *program.hold;
  cancelReleases(id, program);
  placings_.erase(hold.order);
  hold.order = HoldOrder(++lastOrder_);
  hold.orderedAt = now;
  hold.renewAt = now + knobs_.renewAfter;
  placings_[hold.order] = id;
  commands_.emplace_back(PlaceHold{hold.order, hold.backendName, hold.address, id, program.epoch,
                                   hold.prefix, knobs_.deadline});
  wakeAt(hold.renewAt);
}

void HoldLedger::cancelReleases(const ProgramId& id, const Program& program) {
  // A release that is repeated after this order would end the hold that is wanted now.
  std::erase_if(releases_, [&](const auto& entry) {
    const ReleaseHold& command = entry.second.command;
    return command.program == id && command.epoch == program.epoch &&
           command.backendName == program.hold->backendName;
  });
}

void HoldLedger::dropHold(Program& program) {
  const auto engine = engines_.find(program.hold->backendName);
  if (engine != engines_.end()) {
    --engine->second.holds;
  }
  --held_;
  placings_.erase(program.hold->order);
  program.hold.reset();
}

void HoldLedger::releaseHold(const ProgramId& id, Program& program, Instant now) {
  if (!program.hold) {
    return;
  }
  release({HoldOrder{}, program.hold->backendName, program.hold->address, id, program.epoch}, now);
  ++counters_.released;
  dropHold(program);
}

void HoldLedger::release(ReleaseHold command, Instant now) {
  if (releases_.size() >= knobs_.maximumPendingReleases) {
    ++counters_.failed;  // Its deadline ends the hold.
    return;
  }
  watch(command.backendName, command.address, now);
  command.order = HoldOrder(++lastOrder_);
  commands_.emplace_back(command);
  releases_[command.order] = Release{command, 1, now, std::nullopt};
  wakeAt(now + knobs_.deadline);
}

void HoldLedger::onCallEnded(const ProgramId& program, Epoch epoch, Instant now) {
  Program* const record = findOwned(program, epoch);
  if (record == nullptr || record->callsUnderWay == 0) {
    return;
  }
  --record->callsUnderWay;
  if (record->callsUnderWay == 0) {
    record->pausedAt = now;
    record->holdUntil = now + planner_.holdTime(record->work);
    wakeAt(record->holdUntil);
    wakeAt(now + knobs_.idleLease);
  }
}

void HoldLedger::onProgramClosed(const ProgramId& program, Instant now) {
  rememberClosed(program);
  const auto found = programs_.find(program);
  if (found != programs_.end()) {
    releaseHold(program, found->second, now);
    planner_.ended(found->second.work);
    programs_.erase(found);
  }
}

void HoldLedger::rememberClosed(const ProgramId& id) {
  if (!closed_.insert(id).second) {
    return;
  }
  closedOrder_.push_back(id);
  if (closedOrder_.size() > knobs_.maximumClosedPrograms) {
    closed_.erase(closedOrder_.front());
    closedOrder_.pop_front();
  }
}

void HoldLedger::onSuperseded(const ProgramId& program, Instant now) {
  const auto found = programs_.find(program);
  if (found != programs_.end()) {
    // The name has this node's epoch in it: the new owner's hold is not touched.
    releaseHold(program, found->second, now);
    programs_.erase(found);
  }
}

void HoldLedger::onResult(const HoldResult& result, Instant now) {
  counters_.failed += result.outcome == HoldOutcome::Failed ? 1 : 0;
  if (const auto placing = placings_.find(result.order); placing != placings_.end()) {
    const ProgramId id = placing->second;
    placings_.erase(placing);
    onPlaced(id, result, now);
  } else if (const auto found = releases_.find(result.order); found != releases_.end()) {
    onReleased(found->second, result, now);
  }
}

void HoldLedger::onPlaced(const ProgramId& id, const HoldResult& result, Instant now) {
  const auto found = programs_.find(id);
  if (found == programs_.end() || !found->second.hold ||
      found->second.hold->order != result.order) {
    return;
  }
  WantedHold& hold = *found->second.hold;
  switch (result.outcome) {
    case HoldOutcome::Done:
      hold.confirmedAt = now;
      // The engine's time began when it took the order, so not before it was given.
      hold.giveUpAt = std::max(hold.giveUpAt, hold.orderedAt + knobs_.deadline);
      return;
    case HoldOutcome::Failed:
      hold.renewAt = now + knobs_.retryAfter;
      wakeAt(hold.renewAt);
      return;
    case HoldOutcome::LimitExceeded:
      watch(hold.backendName, hold.address, now).restsUntil = now + knobs_.engineRest;
      break;
    case HoldOutcome::NotCached:
    case HoldOutcome::StaleEpoch:
      break;
  }
  ++counters_.refused;
  // It may be a refused move to a longer prefix, with the shorter one still held.
  releaseHold(id, found->second, now);
}

void HoldLedger::onReleased(Release& release, const HoldResult& result, Instant now) {
  const bool goesOn =
      result.outcome == HoldOutcome::Failed && release.attempts < knobs_.releaseAttempts;
  if (!goesOn) {
    releases_.erase(result.order);
    return;
  }
  release.repeatAt = now + knobs_.retryAfter;
  wakeAt(*release.repeatAt);
}

void HoldLedger::beginStop(Instant now) {
  stopping_ = true;
  for (auto& [id, program] : programs_) {
    releaseHold(id, program, now);
  }
  programs_.clear();
}

std::vector<HoldCommand> HoldLedger::takeCommands() { return std::exchange(commands_, {}); }

HoldCounters HoldLedger::counters() const {
  HoldCounters counters = counters_;
  counters.held = held_;
  return counters;
}

}  // namespace gorsetrail::engine
