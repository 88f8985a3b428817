#include "edge/run_history_sharing.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace gorsetrail::edge {

RunHistorySharing::RunHistorySharing(services::TimerService& timers, std::function<Instant()> clock,
                                     RequestRecordPeers& peers,
                                     std::function<routing::RegistrationView()> registrations,
                                     Send send, RunHistorySharingKnobs knobs, std::uint64_t seed)
    : timers_(timers),
      clock_(std::move(clock)),
      peers_(peers),
      registrations_(std::move(registrations)),
      send_(std::move(send)),
      knobs_(std::move(knobs)),
      random_(seed),
      histories_(knobs_.histories),
      datagrams_(knobs_.datagramBurst, knobs_.datagramsPerSecond) {}

void RunHistorySharing::start() {
  startedAt_ = clock_();
  compareLoop();
  suspensionLoop();
}

void RunHistorySharing::suspensionLoop() {
  const Instant now = clock_();
  if (mayReadLate(now)) {
    readsLateUntil_ = now + knobs_.lateDatagramTime;
  }
  suspensionCheckedAt_ = now;
  timers_.runAfter(knobs_.suspensionCheckPeriod, [this] { suspensionLoop(); });
}

bool RunHistorySharing::mayReadLate(Instant now) const {
  const bool wasSuspended =
      suspensionCheckedAt_ &&
      now - *suspensionCheckedAt_ > knobs_.suspensionCheckPeriod + knobs_.longestDelay;
  return wasSuspended || now < readsLateUntil_;
}

std::size_t RunHistorySharing::countedRuns(const routing::RequestKey& request) const {
  const routing::RunHistory* const history = histories_.find(request);
  return history == nullptr ? 0 : history->countedRuns();
}

bool RunHistorySharing::isUncertain(const routing::RequestKey& request,
                                    std::uint64_t number) const {
  const routing::RunHistory* const history = histories_.find(request);
  return history != nullptr && std::any_of(history->runs.begin(), history->runs.end(),
                                           [number](const routing::ReplicaRun& run) {
                                             return run.number == number &&
                                                    run.state == routing::RunState::Uncertain;
                                           });
}

// 0 would be an absent field of a message.
std::uint64_t RunHistorySharing::nextRunNumber() {
  return 1 + random_.below(std::numeric_limits<std::uint64_t>::max());
}

void RunHistorySharing::record(const routing::RequestKey& request, routing::ReplicaRun run,
                               Duration keepFor) {
  const Instant now = clock_();
  histories_.record(request, std::move(run), now + std::min(keepFor, knobs_.maximumLifetime), now);
  broadcast(request);
}

void RunHistorySharing::settle(const routing::RequestKey& request, std::uint64_t number,
                               routing::RunState state, routing::RunEvidence evidence) {
  if (histories_.settle(request, number, state, evidence)) {
    broadcast(request);
  }
}

void RunHistorySharing::clear(const routing::RequestKey& request,
                              std::optional<std::uint32_t> session, Instant until,
                              routing::RunEvidence evidence) {
  if (histories_.clear(request, session, until, evidence)) {
    broadcast(request);
  }
}

routing::QuarantineDecision RunHistorySharing::decide(const routing::RequestKey& request) const {
  return histories_.decide(request, registrations_(), clock_());
}

void RunHistorySharing::broadcast(const routing::RequestKey& request) {
  sendHistory(request);
  timers_.runAfter(knobs_.repeatAfter, [this, request] { sendHistory(request); });
}

void RunHistorySharing::sendHistory(const routing::RequestKey& request) {
  const routing::RunHistory* const history = histories_.find(request);
  if (history == nullptr) {
    return;
  }
  std::vector<std::string> addresses = peers_.others();
  if (!datagrams_.tryTake(static_cast<double>(addresses.size()), clock_())) {
    ++limitedBroadcasts_;
    addresses = peers_.holdersOf(request, knobs_.holders);
  }
  send_(addresses, RunHistoriesMessage{{{request, *history}}});
}

void RunHistorySharing::compareLoop() {
  histories_.update(registrations_(), clock_());
  const std::string peer = peers_.randomOther();
  if (!peer.empty()) {
    send_({peer}, RunHistoriesQuery{histories_.digest()});
  }
  const bool isStarting = clock_() - startedAt_ < knobs_.startTime;
  timers_.runAfter(isStarting ? knobs_.startComparisonPeriod : knobs_.comparisonPeriod,
                   [this] { compareLoop(); });
}

void RunHistorySharing::onMessage(const std::string& /*sender*/,
                                  const RunHistoriesMessage& message) {
  const Instant now = clock_();
  for (const RequestRuns& runs : message.histories) {
    routing::RunHistory history = runs.history;
    history.keepUntil = std::min(history.keepUntil, now + knobs_.maximumLifetime);
    if (mayReadLate(now)) {
      for (routing::ReplicaRun& run : history.runs) {
        run.sentAt.reset();
        run.lastDataAt.reset();
      }
    }
    histories_.merge(runs.request, history, now);
  }
}

void RunHistorySharing::onMessage(const std::string& sender, const RunHistoriesQuery& query) {
  if (query.digest == histories_.digest()) {
    return;
  }
  std::vector<RequestRuns> all;
  all.reserve(histories_.all().size());
  for (const auto& [request, history] : histories_.all()) {
    all.push_back({request, history});
  }
  // A random start, so that repeated comparisons bring all of a long list.
  if (!all.empty()) {
    std::rotate(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(random_.below(all.size())),
                all.end());
  }
  const std::size_t most = knobs_.maximumHistoriesInMessage * knobs_.maximumMessagesInReply;
  all.resize(std::min(all.size(), most));
  for (std::size_t first = 0; first < all.size(); first += knobs_.maximumHistoriesInMessage) {
    const std::size_t end = std::min(all.size(), first + knobs_.maximumHistoriesInMessage);
    send_({sender}, RunHistoriesMessage{{all.begin() + static_cast<std::ptrdiff_t>(first),
                                         all.begin() + static_cast<std::ptrdiff_t>(end)}});
  }
}

}  // namespace gorsetrail::edge
