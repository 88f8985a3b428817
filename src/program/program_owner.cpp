#include "program/program_owner.h"

#include <algorithm>
#include <utility>

#include "program/epochs.h"

namespace gorsetrail::program {
namespace {

/// A replica that never answers costs one message in that time for each program it lags in.
constexpr Duration kLongestPause = seconds(30);
/// Pause before a replica that is known to wait for a refill is written to again.
constexpr Duration kHurriedPause = milliseconds(500);

}  // namespace

ProgramOwner::ProgramOwner(Identity identity, const ReplicaGroups::Group& group,
                           const ProgramKnobs& knobs, const PeerLiveness& liveness,
                           CommandQueue& commands, Instant now)
    : identity_(std::move(identity)),
      group_(group.version),
      knobs_(knobs),
      liveness_(liveness),
      commands_(commands) {
  for (const NodeId member : group.members) {
    replicas_.emplace_back(member, knobs.resendInterval);
  }
  seal(firstEpoch(identity_.self), now);
}

ProgramOwner::Progress* ProgramOwner::replicaOf(NodeId node) {
  const auto position = std::find_if(replicas_.begin(), replicas_.end(),
                                     [&](const Progress& replica) { return replica.node == node; });
  return position == replicas_.end() ? nullptr : &*position;
}

void ProgramOwner::seal(Epoch epoch, Instant now) {
  epoch_ = epoch;
  sealedAt_ = now;
  bestWritten_ = Epoch{};
  best_.reset();
  for (Progress& replica : replicas_) {
    replica = Progress(replica.node, knobs_.resendInterval);
    sendSeal(replica, now);
  }
}

void ProgramOwner::noteSent(Progress& replica, Instant now) {
  if (replica.lastSent) {
    replica.pause = std::min(replica.pause * 2, kLongestPause);
  }
  replica.lastSent = now;
}

bool ProgramOwner::isDue(const Progress& replica, Instant now) const {
  return !replica.lastSent || now - *replica.lastSent >= replica.pause;
}

void ProgramOwner::sendSeal(Progress& replica, Instant now) {
  commands_.send(replica.node, SealRequest{identity_.program, group_, epoch_, identity_.self,
                                           identity_.incarnation});
  noteSent(replica, now);
}

void ProgramOwner::introduce(const Progress& replica) {
  AppendRequest introduction{identity_.program, group_, Epoch{}, identity_.self, std::nullopt, {}};
  introduction.base = ProgramRecord{identity_.key, identity_.limits, {}, false};
  commands_.send(replica.node, std::move(introduction));
}

void ProgramOwner::onAppendReply(NodeId from, const AppendReply& reply, Instant now) {
  Progress* replica = replicaOf(from);
  if (replica == nullptr || reply.epoch != epoch_) {
    return;  // Of an earlier epoch: what it stored was read by the seal, or replaced.
  }
  if (phase_ == OwnerPhase::Sealing || phase_ == OwnerPhase::Renewing) {
    if (reply.verdict == AppendVerdict::MissingPrefix) {
      introduce(*replica);
    }
    return;
  }
  if (phase_ != OwnerPhase::Serving) {
    return;
  }
  switch (reply.verdict) {
    case AppendVerdict::Stored:
      onStored(reply.storedThrough, *replica, now);
      break;
    case AppendVerdict::StaleEpoch:
      onStale(reply.promised, now);
      break;
    case AppendVerdict::MissingPrefix:
      onMissingPrefix(reply, *replica, now);
      break;
    case AppendVerdict::WrongGroup:
      break;  // Waits for the group to be the same again; callers are refused after the timeout.
  }
}

void ProgramOwner::onStored(SequenceNumber through, Progress& replica, Instant now) {
  const bool wasInstalled = std::exchange(replica.installed, true);
  replica.granted = true;
  replica.stored = std::max(replica.stored, through.value());
  replica.pause = knobs_.resendInterval;
  updateStanding();
  if (!wasInstalled && replica.sent < record_.entries.size()) {
    sendTo(replica, now);  // What was appended while the install was on its way.
  }
}

void ProgramOwner::onStale(Epoch promised, Instant now) {
  if (promised <= epoch_) {
    // A member says that another one asks for a refill: it answers now, whatever the pause.
    hurryRefills(now);
    return;
  }
  if (!isBarrier(promised)) {
    phase_ = OwnerPhase::Lost;
    return;
  }
  phase_ = OwnerPhase::Renewing;
  seal(epochAbove(promised, identity_.self), now);
}

void ProgramOwner::hurryRefills(Instant now) {
  for (Progress& replica : replicas_) {
    if (!replica.installed && replica.pause > kHurriedPause) {
      replica.pause = kHurriedPause;
      sendTo(replica, now);
    }
  }
}

void ProgramOwner::onMissingPrefix(const AppendReply& reply, Progress& replica, Instant now) {
  if (reply.promised < epoch_) {
    replica.granted = false;  // It restarted, or never got the seal.
    replica.installed = false;
    replica.stored = 0;
    introduce(replica);
  } else if (reply.storedThrough == SequenceNumber{}) {
    replica.installed = false;
  } else {
    replica.stored = std::max(replica.stored, reply.storedThrough.value());
  }
  replica.sent = replica.stored;
  if (isDue(replica, now)) {
    sendTo(replica, now);
  }
}

void ProgramOwner::updateStanding() {
  std::vector<std::uint64_t> stored;
  for (const Progress& replica : replicas_) {
    stored.push_back(replica.installed ? replica.stored : 0);
  }
  std::sort(stored.rbegin(), stored.rend());
  standing_ = std::max(standing_, SequenceNumber(stored[quorum() - 1]));
}

bool ProgramOwner::isReady() const {
  if (phase_ != OwnerPhase::Serving) {
    return false;
  }
  const auto installed = std::count_if(replicas_.begin(), replicas_.end(),
                                       [](const Progress& each) { return each.installed; });
  return foundEmpty_ || static_cast<std::size_t>(installed) >= quorum();
}

bool ProgramOwner::isSettled() const { return standing_.value() == record_.entries.size(); }

SequenceNumber ProgramOwner::append(EntryBody body, bool isUrgent) {
  const SequenceNumber position(record_.entries.size() + 1);
  record_.closed |= std::holds_alternative<CloseEntry>(body);
  record_.entries.push_back(JournalEntry{position, epoch_, std::move(body)});
  if (isUrgent) {
    isUrgent_ = true;
    urgentThrough_ = position.value();
  }
  return position;
}

void ProgramOwner::sendBase(Progress& replica, Instant now) {
  if (!replica.granted) {
    sendSeal(replica, now);  // It takes the base only once it promised this epoch.
  }
  AppendRequest request{identity_.program, group_, epoch_, identity_.self, record_, {}};
  commands_.send(replica.node, std::move(request));
  replica.sent = record_.entries.size();
  noteSent(replica, now);
}

void ProgramOwner::sendEntries(Progress& replica, std::uint64_t after, Instant now) {
  AppendRequest request{identity_.program, group_, epoch_, identity_.self, std::nullopt, {}};
  const auto first = record_.entries.begin() + static_cast<std::ptrdiff_t>(after);
  request.entries.assign(first, record_.entries.end());
  commands_.send(replica.node, std::move(request));
  replica.sent = record_.entries.size();
  replica.lastSent = now;
}

void ProgramOwner::sendTo(Progress& replica, Instant now) {
  if (!replica.installed) {
    if (isDue(replica, now)) {
      sendBase(replica, now);
    }
    return;
  }
  if (replica.sent < record_.entries.size()) {
    sendEntries(replica, replica.sent, now);
  } else if (replica.stored < record_.entries.size() && isDue(replica, now)) {
    replica.pause = std::min(replica.pause * 2, kLongestPause);
    sendEntries(replica, replica.stored, now);
  }
}

void ProgramOwner::flush(Instant now) {
  if (phase_ != OwnerPhase::Serving || !isUrgent_) {
    return;
  }
  isUrgent_ = false;
  for (Progress& replica : replicas_) {
    sendTo(replica, now);
  }
}

void ProgramOwner::onTick(Instant now) {
  if (phase_ == OwnerPhase::Serving) {
    isUrgent_ = false;
    sendWaiting(now);
  } else if (phase_ == OwnerPhase::Sealing || phase_ == OwnerPhase::Renewing) {
    for (Progress& replica : replicas_) {
      if (!replica.granted && isDue(replica, now)) {
        sendSeal(replica, now);
      }
    }
    if (phase_ == OwnerPhase::Sealing) {
      decideRefusals(now);
    }
  }
}

void ProgramOwner::sendWaiting(Instant now) {
  // Nobody waits for the entries that are not urgent. A quorum gets them now; the others get them
  // in one message with the next urgent entry.
  std::size_t early = 0;
  for (Progress& replica : replicas_) {
    const bool isEarly = replica.installed && early < quorum();
    early += isEarly ? 1 : 0;
    const bool mayWait =
        replica.installed && replica.stored == replica.sent && replica.sent >= urgentThrough_;
    if (isEarly || !mayWait) {
      sendTo(replica, now);
    }
  }
}

bool ProgramOwner::isQuiet() const {
  return phase_ == OwnerPhase::Serving &&
         std::all_of(replicas_.begin(), replicas_.end(), [&](const Progress& replica) {
           return replica.installed && replica.stored == record_.entries.size();
         });
}

void ProgramOwner::release() {
  for (const Progress& replica : replicas_) {
    commands_.send(replica.node, ReleaseNotice{identity_.program, epoch_});
  }
}

}  // namespace gorsetrail::program
