#include "program/journal_cluster.h"

#include <algorithm>

#include "program/epochs.h"

namespace gorsetrail::program {
namespace {
constexpr Duration kTick = milliseconds(10);
}  // namespace

JournalCluster::JournalCluster(std::uint32_t nodes, std::uint64_t seed,
                               ClusterConditions conditions, ProgramKnobs knobs)
    : conditions_(conditions), knobs_(knobs), random_(seed) {
  view_.cluster = this;
  for (std::uint32_t node = 1; node <= nodes; ++node) {
    start(node);
  }
}

bool JournalCluster::View::isAlive(NodeId node, Incarnation incarnation) const {
  const auto position = cluster->nodes_.find(node.value());
  return position != cluster->nodes_.end() && position->second.service != nullptr &&
         !position->second.isSuspected && position->second.incarnation == incarnation.value();
}

std::string JournalCluster::View::callerAddressOf(NodeId node) const {
  return "http://node-" + std::to_string(node.value());
}

ReplicaGroups::Group JournalCluster::groupOf(const std::string& homeZone, ProgramId) const {
  if (homeZone != key.homeZone) {
    return {};
  }
  return Group{GroupVersion(1), {NodeId(1), NodeId(2), NodeId(3)}};
}

void JournalCluster::start(std::uint32_t node) {
  Node& state = nodes_[node];
  state.service = std::make_unique<ProgramServiceImpl>(NodeId(node), Incarnation(state.incarnation),
                                                       knobs_, view_, *this);
}

void JournalCluster::kill(std::uint32_t node) {
  Node& state = nodes_.at(node);
  state.service.reset();
  state.isPaused = false;
  state.heldMessages.clear();
  state.heldAnswers.clear();
}

void JournalCluster::restart(std::uint32_t node) {
  kill(node);
  ++nodes_.at(node).incarnation;
  start(node);
}

void JournalCluster::pause(std::uint32_t node) { nodes_.at(node).isPaused = true; }

void JournalCluster::resume(std::uint32_t node) {
  Node& state = nodes_.at(node);
  state.isPaused = false;
  for (const auto& [from, message] : std::exchange(state.heldMessages, {})) {
    state.service->onJournalMessage(from, message, now_);
    collect(node);
  }
  for (const CallHandle handle : std::exchange(state.heldAnswers, {})) {
    answer(node, handle);
  }
}

void JournalCluster::suspect(std::uint32_t node, bool isSuspected) {
  nodes_.at(node).isSuspected = isSuspected;
}

void JournalCluster::cut(std::uint32_t one, std::uint32_t other, bool isCut) {
  for (const auto& link : {std::pair(one, other), std::pair(other, one)}) {
    if (isCut) {
      cuts_.insert(link);
    } else {
      cuts_.erase(link);
    }
  }
}

CallHandle JournalCluster::call(std::uint32_t node, const std::string& requestKey, bool repeatable,
                                const std::string& messages, const std::string& branch,
                                std::uint32_t tokens) {
  const CallHandle handle(nextHandle_++);
  CallReport asked;
  asked.key = requestKey;
  asked.repeatable = repeatable;
  asked.askedAt = now_;
  reports_[handle] = asked;
  CallAdmission admission{handle,
                          key,
                          branch,
                          requestKey,
                          repeatable,
                          messages,
                          contentDigestOf(requestKey + messages),
                          tokens,
                          now_ + timeLimit,
                          limits};
  service(node).admitCall(admission, now_);
  collect(node);
  return handle;
}

CallHandle JournalCluster::close(std::uint32_t node) {
  const CallHandle handle(nextHandle_++);
  reports_[handle].key = "close";
  service(node).closeProgram(handle, key, now_);
  collect(node);
  return handle;
}

void JournalCluster::collect(std::uint32_t node) {
  for (const ProgramCommand& command : service(node).takeCommands()) {
    take(node, command);
  }
}

void JournalCluster::take(std::uint32_t node, const ProgramCommand& command) {
  if (const auto* message = std::get_if<SendJournalMessage>(&command)) {
    send(node, *message);
  } else if (const auto* admitted = std::get_if<CallAdmitted>(&command)) {
    CallReport& report = reports_.at(admitted->handle);
    report.dispatched = true;
    report.dispatch = admitted->dispatch;
    ++runs_[report.key];
    dispatchOrder.push_back(report.key);
    Delivery answerLater{node, 0, std::nullopt, admitted->handle, nodes_.at(node).incarnation};
    events_.emplace(now_ + conditions_.backendTime, std::move(answerLater));
  } else if (const auto* replayed = std::get_if<CallReplayed>(&command)) {
    reports_.at(replayed->handle).answer = replayed->answer;
    reports_.at(replayed->handle).replayed = true;
    reports_.at(replayed->handle).overAt = now_;
  } else if (const auto* refused = std::get_if<CallRefused>(&command)) {
    reports_.at(refused->handle).error = refused->error;
    reports_.at(refused->handle).overAt = now_;
  } else if (const auto* recorded = std::get_if<OutcomeRecorded>(&command)) {
    CallReport& report = reports_.at(recorded->handle);
    report.answer = "answer to " + report.dispatch->toText();
    report.overAt = now_;
  } else if (std::holds_alternative<ProgramEnded>(command)) {
    for (auto& [handle, report] : reports_) {
      if (report.key == "close" && !report.isOver()) {
        report.answer = "closed";
      }
    }
  }
}

Duration JournalCluster::delay() {
  const bool isLate = random_.below(1000) < conditions_.latePerMille;
  const Duration most = isLate ? conditions_.longestDelay : conditions_.usualDelay;
  const auto span = static_cast<std::uint64_t>((most - conditions_.shortestDelay).count());
  return conditions_.shortestDelay + Duration(static_cast<std::int64_t>(random_.below(span)));
}

void JournalCluster::send(std::uint32_t from, const SendJournalMessage& command) {
  ++sent_;
  const std::uint32_t to = command.to.value();
  const Delivery delivery{to, from, command.message, CallHandle{}, 0};
  if (from == to) {
    events_.emplace(now_, delivery);  // The node loops it back: never lost, never late.
    return;
  }
  if (onSent) {
    onSent(command.message);
  }
  if (random_.below(1000) >= conditions_.lossPerMille) {
    events_.emplace(now_ + delay(), delivery);
  }
  if (random_.below(1000) < conditions_.duplicatePerMille) {
    events_.emplace(now_ + delay(), delivery);
  }
}

void JournalCluster::deliver(const Delivery& delivery) {
  Node& state = nodes_.at(delivery.to);
  if (state.service == nullptr || cuts_.contains({delivery.from, delivery.to})) {
    return;
  }
  if (!delivery.message) {
    if (state.incarnation != delivery.incarnation) {
      return;
    }
    if (state.isPaused) {
      state.heldAnswers.push_back(delivery.handle);
    } else {
      answer(delivery.to, delivery.handle);
    }
    return;
  }
  if (state.isPaused) {
    state.heldMessages.emplace_back(NodeId(delivery.from), *delivery.message);
    return;
  }
  state.service->onJournalMessage(NodeId(delivery.from), *delivery.message, now_);
  collect(delivery.to);
}

void JournalCluster::answer(std::uint32_t node, CallHandle handle) {
  const std::string text = "answer to " + reports_.at(handle).dispatch->toText();
  service(node).recordOutcome(handle, CallOutcome{CallStatus::Completed, 7, milliseconds(40), text},
                              now_);
  collect(node);
}

void JournalCluster::run(Duration span) {
  const Instant end = now_ + span;
  while (true) {
    const Instant next = events_.empty() ? nextTick_ : std::min(nextTick_, events_.begin()->first);
    if (next > end) {
      now_ = end;
      return;
    }
    now_ = std::max(now_, next);
    if (!events_.empty() && events_.begin()->first <= now_) {
      const Delivery delivery = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      deliver(delivery);
      continue;
    }
    nextTick_ = now_ + kTick;
    for (auto& [node, state] : nodes_) {
      if (state.service != nullptr && !state.isPaused) {
        state.service->onTick(now_);
        collect(node);
      }
    }
  }
}

const CallReport& JournalCluster::finish(CallHandle handle) {
  constexpr Duration kLongest = seconds(10);
  for (Duration waited{}; waited < kLongest && !reports_.at(handle).isOver(); waited += kTick) {
    run(kTick);
  }
  return reports_.at(handle);
}

const CallReport& JournalCluster::askUntilAnswered(const std::string& requestKey,
                                                   unsigned attempts) {
  CallHandle handle;
  for (unsigned attempt = 0; attempt < attempts; ++attempt) {
    const auto node = static_cast<std::uint32_t>(1 + attempt % nodes_.size());
    if (!isUp(node) || isPaused(node)) {
      continue;
    }
    handle = call(node, requestKey);
    if (finish(handle).answer) {
      break;
    }
    run(milliseconds(100));
  }
  return reports_.at(handle);
}

void JournalCluster::heal() {
  conditions_.lossPerMille = 0;
  cuts_.clear();
  for (auto& [node, state] : nodes_) {
    state.isSuspected = false;
    if (state.service == nullptr) {
      restart(node);
    } else if (state.isPaused) {
      resume(node);
    }
  }
}

unsigned JournalCluster::runsOf(const std::string& requestKey) const {
  const auto position = runs_.find(requestKey);
  return position == runs_.end() ? 0 : position->second;
}

}  // namespace gorsetrail::program
