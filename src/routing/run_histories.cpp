#include "routing/run_histories.h"

#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace gorsetrail::routing {
namespace {

/// Times from other nodes are late by the transit of their messages.
constexpr Duration kTransitTime = milliseconds(50);

std::uint64_t digestOf(const RequestKey& key, const RunHistory& history) {
  std::uint64_t digest = XXH3_64bits_withSeed(&key.low, sizeof key.low, key.high);
  for (const ReplicaRun& run : history.runs) {
    const std::uint64_t seed =
        (std::uint64_t{run.revision} << 8U) | static_cast<unsigned>(run.state);
    // A sum, because nodes learn of the runs in different orders.
    digest += XXH3_64bits_withSeed(&run.number, sizeof run.number, seed);
  }
  return digest;
}

/// \return the rank of a state at one revision. That a replica ended is inferred from its missing
/// registration, so that proof that it outlived the run goes before it.
int verdictRank(RunState state) {
  switch (state) {
    case RunState::Uncertain:
      return 0;
    case RunState::Ended:
      return 1;
    case RunState::NotExecuted:
      return 2;
    case RunState::Survived:
      break;
  }
  return 3;
}

/// \return whether `left` is to be dropped before `right`.
bool isLessImportant(const RunHistory& left, const RunHistory& right) {
  return std::tuple(left.countedRuns(), left.keepUntil) <
         std::tuple(right.countedRuns(), right.keepUntil);
}

}  // namespace

std::string_view runStateName(RunState state) {
  switch (state) {
    case RunState::NotExecuted:
      return "not_executed";
    case RunState::Survived:
      return "survived";
    case RunState::Ended:
      return "ended";
    case RunState::Uncertain:
      break;
  }
  return "uncertain";
}

std::string_view runEvidenceName(RunEvidence evidence) {
  switch (evidence) {
    case RunEvidence::Replica:
      return "replica";
    case RunEvidence::Registrations:
      return "registrations";
    case RunEvidence::EarlierConnection:
      return "earlier_connection";
    case RunEvidence::Answer:
      return "answer";
    case RunEvidence::LaterSuccess:
      return "later_success";
    case RunEvidence::Operator:
      return "operator";
    case RunEvidence::OtherNode:
      break;
  }
  return "other_node";
}

std::size_t RunHistory::countedRuns() const {
  return static_cast<std::size_t>(
      std::count_if(runs.begin(), runs.end(), [](const ReplicaRun& run) { return run.counts(); }));
}

std::vector<ProcessRuns> groupByProcess(const std::vector<ReplicaRun>& runs, Duration restartTime) {
  ProcessRuns counted;
  for (const ReplicaRun& run : runs) {
    if (run.counts()) {
      counted.push_back(&run);
    }
  }
  const auto orderOf = [](const ReplicaRun* run) {
    return std::tuple(std::string_view(run->replicaId), run->startedAt, run->sentAt, run->number);
  };
  std::sort(counted.begin(), counted.end(),
            [&orderOf](const ReplicaRun* left, const ReplicaRun* right) {
              return orderOf(left) < orderOf(right);
            });
  std::vector<ProcessRuns> groups;
  // The next process under the id cannot have started before then.
  Instant nextProcessAfter{};
  for (const ReplicaRun* const run : counted) {
    const bool isSame = run->sentAt && !groups.empty() && groups.back().front()->sentAt &&
                        groups.back().front()->isAtSameIncarnation(*run) &&
                        *run->sentAt < nextProcessAfter;
    if (!isSame) {
      groups.emplace_back();
      nextProcessAfter = run->sentAt.value_or(Instant{}) + restartTime;
    }
    groups.back().push_back(run);
    if (run->lastDataAt) {
      nextProcessAfter = std::max(nextProcessAfter, *run->lastDataAt + restartTime);
    }
  }
  return groups;
}

const RunHistory* RunHistories::find(const RequestKey& key) const {
  const auto found = histories_.find(key);
  return found == histories_.end() ? nullptr : &found->second;
}

RunHistory& RunHistories::historyFor(const RequestKey& key) {
  if (histories_.size() >= knobs_.maximumHistories && !histories_.contains(key)) {
    dropLeastImportant();
  }
  return histories_[key];
}

void RunHistories::dropLeastImportant() {
  const auto least = std::min_element(histories_.begin(), histories_.end(),
                                      [](const auto& left, const auto& right) {
                                        return isLessImportant(left.second, right.second);
                                      });
  histories_.erase(least);
  ++droppedHistories_;
}

void RunHistories::reportSettled(const RequestKey& key, const ReplicaRun& run,
                                 RunEvidence evidence) const {
  if (knobs_.onSettled) {
    knobs_.onSettled(key, run, evidence);
  }
}

bool RunHistories::mergeRun(RunHistory& history, const ReplicaRun& run) const {
  std::vector<ReplicaRun>& runs = history.runs;
  const auto known = std::find_if(runs.begin(), runs.end(), [&](const ReplicaRun& other) {
    return other.number == run.number;
  });
  if (known != runs.end()) {
    const bool isNewer = std::tuple(run.revision, verdictRank(run.state)) >
                         std::tuple(known->revision, verdictRank(known->state));
    if (isNewer) {
      *known = run;
    }
    return isNewer;
  }
  runs.push_back(run);
  if (runs.size() > knobs_.maximumRuns) {
    dropLeastImportantRun(runs);
  }
  return true;
}

// Runs that do not count go first, then those that add no process to the count.
void RunHistories::dropLeastImportantRun(std::vector<ReplicaRun>& runs) const {
  std::uint64_t redundant = 0;
  for (const ProcessRuns& group : groupByProcess(runs, knobs_.restartTime)) {
    if (group.size() > 1) {
      redundant = group.back()->number;
    }
  }
  const auto importanceOf = [redundant](const ReplicaRun& run) {
    return std::tuple(run.counts(), run.number != redundant, run.at);
  };
  runs.erase(std::min_element(runs.begin(), runs.end(),
                              [&importanceOf](const ReplicaRun& left, const ReplicaRun& right) {
                                return importanceOf(left) < importanceOf(right);
                              }));
}

void RunHistories::record(const RequestKey& key, ReplicaRun run, Instant keepUntil, Instant now) {
  RunHistory& history = historyFor(key);
  const auto known =
      std::find_if(history.runs.begin(), history.runs.end(),
                   [&](const ReplicaRun& other) { return other.number == run.number; });
  run.at = now;
  run.state = RunState::Uncertain;
  run.revision = known == history.runs.end() ? 1 : known->revision + 1;
  history.keepUntil = std::max(history.keepUntil, keepUntil);
  mergeRun(history, run);
}

bool RunHistories::settle(const RequestKey& key, std::uint64_t number, RunState state,
                          RunEvidence evidence) {
  const auto found = histories_.find(key);
  if (found == histories_.end()) {
    return false;
  }
  bool changed = false;
  for (ReplicaRun& run : found->second.runs) {
    if (run.number == number && verdictRank(state) > verdictRank(run.state)) {
      run.state = state;
      reportSettled(key, run, evidence);
      changed = true;
    }
  }
  return changed;
}

bool RunHistories::clear(const RequestKey& key, std::optional<std::uint32_t> session, Instant until,
                         RunEvidence evidence) {
  const auto found = histories_.find(key);
  if (found == histories_.end()) {
    return false;
  }
  bool changed = false;
  for (ReplicaRun& run : found->second.runs) {
    const bool isOfSession = !session || run.session == *session;
    if (run.counts() && run.isInterrupted && isOfSession && run.at <= until) {
      run.state = RunState::Survived;
      reportSettled(key, run, evidence);
      changed = true;
    }
  }
  return changed;
}

std::optional<std::uint64_t> RunHistories::runSince(const RequestKey& key, const ReplicaRun& run,
                                                    Instant since) const {
  const RunHistory* const history = find(key);
  if (history == nullptr) {
    return std::nullopt;
  }
  const auto found =
      std::find_if(history->runs.begin(), history->runs.end(), [&](const ReplicaRun& other) {
        return other.isAtSameIncarnation(run) && other.counts() && other.at >= since;
      });
  return found == history->runs.end() ? std::nullopt : std::optional(found->number);
}

bool RunHistories::merge(const RequestKey& key, const RunHistory& other, Instant now) {
  if (other.keepUntil <= now) {
    return false;
  }
  const bool isNew = !histories_.contains(key);
  RunHistory& history = historyFor(key);
  bool changed = isNew;
  for (const ReplicaRun& run : other.runs) {
    const bool isNews = mergeRun(history, run);
    if (isNews && run.state != RunState::Uncertain) {
      reportSettled(key, run, RunEvidence::OtherNode);
    }
    changed = isNews || changed;
  }
  history.keepUntil = std::max(history.keepUntil, other.keepUntil);
  return changed;
}

RunState RunHistories::stateBy(const ReplicaRun& run, const RegistrationView& view) const {
  if (run.state != RunState::Uncertain) {
    return run.state;
  }
  switch (view.find(run.replicaId, run.startedAt)) {
    case Registration::Absent:
      // An earlier read may not show the replica yet.
      return view.readAt < run.at + kTransitTime ? RunState::Uncertain : RunState::Ended;
    case Registration::Present:
      // It may be the next process under this id, or the store has not removed the entry yet.
      return RunState::Uncertain;
    case Registration::Unknown:
      break;
  }
  return RunState::Uncertain;
}

void RunHistories::update(const RegistrationView& view, Instant now) {
  std::erase_if(histories_, [now](const auto& entry) { return entry.second.keepUntil <= now; });
  for (auto& [key, history] : histories_) {
    for (ReplicaRun& run : history.runs) {
      const RunState settled = stateBy(run, view);
      if (settled == run.state) {
        continue;
      }
      run.state = settled;
      reportSettled(key, run, RunEvidence::Registrations);
    }
  }
}

QuarantineDecision RunHistories::decide(const RequestKey& key, const RegistrationView& view,
                                        Instant now) const {
  QuarantineDecision decision;
  const RunHistory* const history = find(key);
  if (history == nullptr || history->keepUntil <= now) {
    return decision;
  }
  std::set<std::string_view> replicas;
  std::set<std::pair<std::string_view, std::optional<ReplicaStart>>> ended;
  std::vector<Instant> settledAt;  // When it may be known that other processes do not count.
  bool isAnyInProgress = false;
  bool mayAllLive = true;
  for (const ProcessRuns& process : groupByProcess(history->runs, knobs_.restartTime)) {
    decision.repeatedReplicas += replicas.insert(process.front()->replicaId).second ? 0 : 1;
    bool hasEnded = false;
    bool isCertain = false;
    Instant settled = now;
    for (const ReplicaRun* const run : process) {
      const bool hasRunEnded = stateBy(*run, view) == RunState::Ended;
      hasEnded = hasEnded || hasRunEnded;
      // A run at a failing replica may have met no process, so that it makes no refusal final.
      isCertain = isCertain || (hasRunEnded && !run->atFailingReplica);
      settled = std::max(settled, usuallySettledAt(*run, now));
      isAnyInProgress = isAnyInProgress || !run->isInterrupted;
      mayAllLive = mayAllLive && view.readAt >= run->at + knobs_.registrationLapseTime;
    }
    // Further runs under an id that has ended may have met the next process: likewise.
    isCertain =
        isCertain && ended.emplace(process.front()->replicaId, process.front()->startedAt).second;
    if (!isCertain) {
      settledAt.push_back(hasEnded ? history->keepUntil : settled);
    }
  }
  decision.endedReplicas = ended.size();
  decision.uncertainReplicas = settledAt.size();
  const std::size_t counted = ended.size() + settledAt.size();
  decision.isQuarantined = counted >= knobs_.maximumEndedReplicas;
  if (decision.isQuarantined && ended.size() < knobs_.maximumEndedReplicas) {
    std::sort(settledAt.begin(), settledAt.end());
    decision.retryAfter = settledAt[counted - knobs_.maximumEndedReplicas] - now;
    decision.mayLive = mayAllLive && !isAnyInProgress;
  }
  return decision;
}

Instant RunHistories::usuallySettledAt(const ReplicaRun& run, Instant now) const {
  // A run in progress may be answered at any time.
  const Instant end = run.isInterrupted ? std::max(now, run.mayRunUntil) : now;
  return end + knobs_.usualProofTime;
}

std::uint64_t RunHistories::digest() const {
  std::uint64_t digest = histories_.size();
  for (const auto& [key, history] : histories_) {
    digest ^= digestOf(key, history);
  }
  return digest;
}

std::size_t RunHistories::quarantinedRequests() const {
  return static_cast<std::size_t>(
      std::count_if(histories_.begin(), histories_.end(), [this](const auto& entry) {
        return groupByProcess(entry.second.runs, knobs_.restartTime).size() >=
               knobs_.maximumEndedReplicas;
      }));
}

}  // namespace gorsetrail::routing
