// The part of the ledger that works by time and by inventories.
#include <charconv>
#include <utility>

#include "engine/hold_ledger.h"

namespace gorsetrail::engine {
namespace {

constexpr int kHexadecimal = 16;

std::optional<ProgramId> programFromHex(std::string_view text) {
  ProgramId id;
  if (text.size() != 2 * id.bytes.size()) {
    return std::nullopt;
  }
  for (std::size_t index = 0; index < id.bytes.size(); ++index) {
    const char* const first = text.data() + 2 * index;
    const auto [end, error] = std::from_chars(first, first + 2, id.bytes[index], kHexadecimal);
    if (error != std::errc() || end != first + 2) {
      return std::nullopt;
    }
  }
  return id;
}

}  // namespace

void HoldLedger::onInventory(const HoldInventory& inventory, Instant now) {
  const auto found = engines_.find(inventory.backendName);
  if (found == engines_.end()) {
    return;
  }
  // A copy: what is judged may change the list of engines.
  const Engine engine = found->second;
  for (const ListedHold& listed : inventory.holds) {
    judge(listed, inventory.backendName, engine, now);
  }
  replaceMissing(inventory, engine.lastRead, now);
}

void HoldLedger::judge(const ListedHold& listed, const std::string& backendName,
                       const Engine& engine, Instant now) {
  const std::optional<ProgramId> id = programFromHex(listed.program);
  if (!id || listed.name != holdNameOf(*id, listed.epoch)) {
    return;  // Not of a node: none of this reaper's business.
  }
  const auto owned = programs_.find(*id);
  if (owned != programs_.end() && listed.epoch > owned->second.epoch) {
    onSuperseded(*id, now);
  } else if (isLeftOver(*id, listed, backendName)) {
    ++counters_.reaped;
    release({HoldOrder{}, backendName, engine.address, *id, listed.epoch}, now);
  }
}

bool HoldLedger::isLeftOver(const ProgramId& id, const ListedHold& listed,
                            const std::string& backendName) const {
  const auto owned = programs_.find(id);
  if (owned == programs_.end()) {
    return closed_.contains(id);  // Of other programs nothing is known: their deadline decides.
  }
  const Program& program = owned->second;
  const bool wanted =
      listed.epoch == program.epoch && program.hold && program.hold->backendName == backendName;
  return !wanted;
}

void HoldLedger::replaceMissing(const HoldInventory& inventory, Instant readAt, Instant now) {
  std::unordered_set<std::string> names;
  for (const ListedHold& listed : inventory.holds) {
    names.insert(listed.name);
  }
  for (auto& [id, program] : programs_) {
    const bool heldThere = program.hold && program.hold->backendName == inventory.backendName;
    // Only what was confirmed before the reading was ordered has to be in it.
    if (heldThere && program.hold->confirmedAt && *program.hold->confirmedAt <= readAt &&
        !names.contains(holdNameOf(id, program.epoch))) {
      program.hold->renewAt = now;
      wakeAt(now);
    }
  }
}

void HoldLedger::onTick(Instant now) {
  if (now < nextWake_) {
    return;
  }
  nextWake_ = Instant::max();
  tickPrograms(now);
  tickReleases(now);
  tickEngines(now);
}

void HoldLedger::tickPrograms(Instant now) {
  for (auto entry = programs_.begin(); entry != programs_.end();) {
    auto& [id, program] = *entry;
    const bool pauses = program.callsUnderWay == 0;
    if (pauses && now >= program.pausedAt + knobs_.idleLease) {
      releaseHold(id, program, now);
      planner_.ended(program.work);
      entry = programs_.erase(entry);
      continue;
    }
    if (pauses) {
      wakeAt(program.pausedAt + knobs_.idleLease);
    }
    if (program.hold) {
      tickHold(id, program, now);
    }
    ++entry;
  }
}

void HoldLedger::tickHold(const ProgramId& id, Program& program, Instant now) {
  // First of all: a node that was paused past the deadline may not be the owner any more, and only
  // a call that a quorum recorded shows that it is.
  if (now >= program.hold->giveUpAt) {
    ++counters_.expired;
    dropHold(program);
    return;
  }
  const bool pauses = program.callsUnderWay == 0;
  if (pauses && now >= program.holdUntil) {
    releaseHold(id, program, now);
    return;
  }
  if (now >= program.hold->renewAt) {
    ++counters_.renewed;
    order(id, program, now);
  }
  watch(program.hold->backendName, program.hold->address, now);
  wakeAt(program.hold->renewAt);
  wakeAt(program.hold->giveUpAt);
  if (pauses) {
    wakeAt(program.holdUntil);
  }
}

void HoldLedger::tickReleases(Instant now) {
  for (auto entry = releases_.begin(); entry != releases_.end();) {
    auto& [order, release] = *entry;
    if (now >= release.givenAt + knobs_.deadline) {
      entry = releases_.erase(entry);  // The hold has ended by itself.
      continue;
    }
    if (release.repeatAt && now >= *release.repeatAt) {
      ++release.attempts;
      release.repeatAt.reset();
      commands_.emplace_back(release.command);
    }
    wakeAt(release.repeatAt.value_or(release.givenAt + knobs_.deadline));
    ++entry;
  }
}

void HoldLedger::tickEngines(Instant now) {
  for (auto entry = engines_.begin(); entry != engines_.end();) {
    auto& [name, engine] = *entry;
    if (engine.holds == 0 && now >= engine.watchUntil) {
      entry = engines_.erase(entry);
      continue;
    }
    if (now >= engine.readAt) {
      engine.lastRead = now;
      engine.readAt = now + knobs_.reconcileInterval;
      commands_.emplace_back(ReadHolds{name, engine.address});
    }
    wakeAt(std::min(engine.readAt, std::max(engine.watchUntil, now + seconds(1))));
    ++entry;
  }
}

}  // namespace gorsetrail::engine
