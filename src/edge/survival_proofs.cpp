#include "edge/survival_proofs.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace gorsetrail::edge {

SurvivalProofs::SurvivalProofs(services::TimerService& timers, std::function<Instant()> clock,
                               http::HttpClient& client, RunHistoryDirectory& histories,
                               SurvivalProofKnobs knobs)
    : timers_(timers),
      clock_(std::move(clock)),
      client_(client),
      histories_(histories),
      knobs_(knobs) {}

void SurvivalProofs::watch(InterruptedRun run) {
  const auto known = std::find_if(runs_.begin(), runs_.end(), [&run](const Watched& watched) {
    return watched.run.number == run.number;
  });
  if (known != runs_.end()) {
    known->run.mayRunUntil = std::max(known->run.mayRunUntil, run.mayRunUntil);
    return;
  }
  if (runs_.size() >= knobs_.maximumRuns) {
    runs_.erase(runs_.begin());
  }
  const Instant end = std::max(clock_(), run.mayRunUntil);
  runs_.push_back({std::move(run), end, knobs_.firstProbePause});
  schedule();
}

void SurvivalProofs::onAnswer(const std::string& address, Instant openedAt, Instant sentAt) {
  for (const Watched& watched : runs_) {
    const InterruptedRun& run = watched.run;
    if (run.address == address && openedAt < run.sentAt && run.mayRunUntil <= sentAt) {
      histories_.settle(run.request, run.number, routing::RunState::Survived,
                        routing::RunEvidence::EarlierConnection);
    }
  }
}

void SurvivalProofs::schedule() {
  if (isScheduled_) {
    return;
  }
  isScheduled_ = true;
  timers_.runAfter(knobs_.period, [this] {
    isScheduled_ = false;
    removeSettled();
    probeDueRuns();
    if (!runs_.empty()) {
      schedule();
    }
  });
}

void SurvivalProofs::removeSettled() {
  std::erase_if(runs_, [this](const Watched& watched) {
    return !histories_.isUncertain(watched.run.request, watched.run.number);
  });
}

void SurvivalProofs::probeDueRuns() {
  const Instant now = clock_();
  for (Watched& watched : runs_) {
    const InterruptedRun& run = watched.run;
    const bool isDue = run.mayRunUntil <= now && watched.nextProbeAt <= now;
    if (isDue && !run.healthPath.empty() &&
        histories_.countedRuns(run.request) >= knobs_.countedRunsToProbe) {
      probe(watched);
    }
  }
}

void SurvivalProofs::probe(Watched& watched) {
  const Instant now = clock_();
  watched.nextProbeAt = now + watched.probePause;
  watched.probePause = std::min(watched.probePause * 2, knobs_.longestProbePause);
  http::Request request;
  request.address = watched.run.address;
  request.target = watched.run.healthPath;
  request.timeLimit = knobs_.probeTimeLimit;
  request.connectionOpenedBefore = watched.run.sentAt;
  http::ResponseHandler handler;
  handler.onBody = [](std::string_view /*part*/) {};  // Not collected: it may have no end.
  handler.onDone = [this, address = watched.run.address, openedBefore = watched.run.sentAt,
                    sentAt = now](const http::Response& /*response*/) {
    // Any status is an answer of the process that accepted the connection.
    onAnswer(address, openedBefore - Duration(1), sentAt);
  };
  handler.onFailure = [](const http::Failure& /*failure*/) {};  // It proves nothing.
  client_.send(std::move(request), std::move(handler));
}

}  // namespace gorsetrail::edge
