#include "lab/faultsoak/soak_program.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "base/steady_clock.h"
#include "lab/faultsoak/fault_plan.h"
#include "lab/faultsoak/soak_replica.h"
#include "platform/names.h"

namespace gorsetrail::lab {
namespace {

constexpr std::uint64_t kTokensOfTurn = SoakProgram::kTokensPerEvent * SoakReplica::kEventsOfStream;
constexpr Duration kDeadline = milliseconds(3000);
constexpr int kMostTurns = 6;
constexpr int kTurnsOfLoop = 40;
/// More than the time to recover holds: who goes on after a loss of all asks until its end.
constexpr int kMostTriesAfterLoss = 1000;
/// What a program says that it takes in all, far above what it takes on idle replicas. Nodes grant
/// turns under budget leases only to programs that tell a time of under 10 s and are not over it.
constexpr Duration kTimeOfProgram = seconds(8);
constexpr int kTurnsAfterLoss = 2;
/// Budget of a program that goes on after a loss of all, in turns. What dead processes may have
/// granted unseen counts for at most 0.6 of it (docs/design/0011-budget-leases.md): eight turns are
/// left to two, so that no refusal by budget is right.
constexpr std::uint64_t kBudgetTurnsAfterLoss = 20;
constexpr int kTurnsNearBudget = 8;
/// For a turn that a dead node broke off, and one beside it.
constexpr int kSpareTurnsNearBudget = 2;
constexpr std::size_t kMostStoredTurns = 200;
constexpr int kMostTriesOfTool = 3;
/// Programs resend a failed turn after a time between these (docs/design/0021). A fixed time can
/// keep step with the nodes' updates of loads each 100 ms, and then meets a high load at each try.
constexpr Duration kShortestPause = milliseconds(100);
constexpr Duration kLongestPause = milliseconds(400);
constexpr double kShareOfLoops = 0.1;
constexpr unsigned kOk = 200;
constexpr unsigned kBudgetSpent = 402;
constexpr unsigned kUnavailable = 503;
constexpr std::array<std::string_view, 4> kCapacityReasons = {
    "\"replicas_busy\"", "\"replicas_full\"", "\"program_not_admitted\"", "\"tenant_above_share\""};

}  // namespace

/// What an attempt got so far; shared by the handlers of its answer.
struct SoakProgram::Gathered {
  SoakAnswer answer;
  bool onKeptConnection = false;
};

bool isRefusedForCapacity(const SoakAnswer& answer) {
  return answer.status == kUnavailable &&
         std::any_of(kCapacityReasons.begin(), kCapacityReasons.end(),
                     [&](std::string_view reason) {
                       return answer.body.find(reason) != std::string::npos;
                     });
}

std::string apiKeyOf(const std::string& tenant) { return "key-of-" + tenant; }

SoakProgram::SoakProgram(SoakClients& clients, std::string tenant, int mostTries)
    : clients_(clients),
      nodeChoice_(clients.nodes.size()),
      tenant_(std::move(tenant)),
      mostTries_(mostTries) {}

void SoakProgram::start(std::function<void()> onEnded) {
  onEnded_ = std::move(onEnded);
  id_ = "p" + std::to_string(++clients_.nextId);
  persisted_ = clients_.random.below(3) > 0;
  loops_ = clients_.random.fraction() < kShareOfLoops;
  turnsWanted_ = loops_ ? kTurnsOfLoop : 1 + static_cast<int>(clients_.random.below(kMostTurns));
  finishAt_ = steadyNow() + kTimeOfProgram;
  // Room for each turn and a few that have to be sent again.
  budget_ = kTokensOfTurn * static_cast<std::uint64_t>(loops_ ? 5 : 3 * turnsWanted_);
  clients_.watcher.onProgram(id_, budget_, kTokensOfTurn);
  tell(SoakStep::Start);
  sendTurn();
}

void SoakProgram::startFrom(const StoredTurn& turn) {
  onEnded_ = [] {};
  id_ = "p" + std::to_string(++clients_.nextId);
  persisted_ = true;
  turnsWanted_ = kTurnsAfterLoss;
  mostTries_ = kMostTriesAfterLoss;
  finishAt_ = steadyNow() + kTimeOfProgram;
  budget_ = kTokensOfTurn * kBudgetTurnsAfterLoss;
  previous_ = turn.id;
  history_ = turn.history;
  clients_.watcher.onProgram(id_, budget_, kTokensOfTurn);
  clients_.watcher.onGoesOnAfterLoss(id_);
  sendTurn();
}

void SoakProgram::startNearBudget(std::function<void(bool well)> onEnded) {
  onEnded_ = [] {};
  onNearBudgetEnded_ = std::move(onEnded);
  id_ = "p" + std::to_string(++clients_.nextId);
  persisted_ = true;
  turnsWanted_ = kTurnsNearBudget;
  finishAt_ = steadyNow() + kTimeOfProgram;
  budget_ = kTokensOfTurn * static_cast<std::uint64_t>(kTurnsNearBudget + kSpareTurnsNearBudget);
  clients_.watcher.onProgram(id_, budget_, kTokensOfTurn);
  sendTurn();
}

void SoakProgram::startEndingReplicas(SoakRoute route, SoakReplica::Effect effect) {
  onEnded_ = [] {};
  id_ = "p" + std::to_string(++clients_.nextId) + SoakReplica::markOf(effect);
  endsReplicas_ = true;
  endingRoute_ = route;
  persisted_ = route == SoakRoute::Turn;
  turnsWanted_ = 1;
  finishAt_ = steadyNow() + kTimeOfProgram;
  budget_ = kTokensOfTurn * kBudgetTurnsAfterLoss;
  clients_.watcher.onProgram(id_, budget_, kTokensOfTurn);
  if (route == SoakRoute::Safe) {
    sendTool(true, kMostTries);
  } else {
    sendTurn();
  }
}

void SoakProgram::sendTurn() {
  const std::string input = "in-" + id_ + "-" + std::to_string(turnsDone_) + ";";
  SoakAttempt attempt;
  attempt.id = "q" + std::to_string(++clients_.nextId);
  attempt.route = persisted_ ? SoakRoute::Turn : SoakRoute::Resumable;
  attempt.program = id_;
  attempt.expectedInput = persisted_ ? history_ + input : input;
  attempt.expectedOutput = SoakReplica::streamAfter(attempt.id, lastEvent_);
  attempt.resumes = resumes_;
  attempt.endsReplicas = endsReplicas_;
  attempt.isLateReturn = lateReturns_ > 0;
  attempt.continuesWholeTurn = persisted_ && !previous_.empty();
  const std::string target = persisted_ ? "/kept/stream/x" : "/again/stream/x";
  send(attempt, "POST", target, input,
       [self = shared_from_this(), attempt](const SoakAnswer& answer) {
         self->onTurn(attempt, answer);
       });
}

void SoakProgram::onTurn(const SoakAttempt& attempt, const SoakAnswer& answer) {
  if (answer.status == kBudgetSpent) {
    end(loops_);
    return;
  }
  if (answer.status != kOk || !answer.whole) {
    if (isRefusedForCapacity(answer)) {
      tell(SoakStep::TurnRefused);
    }
    noteBrokenStream(attempt, answer);
    retryTurn();
    return;
  }
  ++clients_.turnsAnswered;
  tell(SoakStep::TurnAnswered);
  ++turnsDone_;
  tries_ = 0;
  resumes_.clear();
  lastEvent_ = 0;
  if (persisted_) {
    history_ = attempt.expectedInput;
    for (int number = 1; number <= SoakReplica::kEventsOfStream; ++number) {
      history_ += SoakReplica::eventData(attempt.id, number) + "\n";
    }
    previous_ = attempt.id;
    storeTurn(attempt);
  }
  if (turnsDone_ == turnsWanted_) {
    end(true);
  } else {
    sendTool(clients_.random.below(2) == 0, kMostTriesOfTool);
  }
}

void SoakProgram::storeTurn(const SoakAttempt& attempt) {
  StoredTurn turn{attempt.id, history_, tenant_};
  if (clients_.storedTurns.size() < kMostStoredTurns) {
    clients_.storedTurns.push_back(std::move(turn));
    ++clients_.storedTurnsSeen;
    return;
  }
  const std::uint64_t place = clients_.random.below(++clients_.storedTurnsSeen);
  if (place < kMostStoredTurns) {
    clients_.storedTurns[place] = std::move(turn);
  }
}

void SoakProgram::noteBrokenStream(const SoakAttempt& attempt, const SoakAnswer& answer) {
  if (attempt.route != SoakRoute::Resumable) {
    return;
  }
  // A refusal that names no time to come back is final for this stream.
  if (answer.status == kUnavailable && !answer.namesRetryTime) {
    resumes_.clear();
    lastEvent_ = 0;
    return;
  }
  const int events = answer.status == kOk ? SoakReplica::eventsIn(answer.body) : 0;
  if (events > 0 && resumes_.empty()) {
    resumes_ = attempt.id;
  }
  lastEvent_ += events;
}

void SoakProgram::retryTurn() {
  if (++tries_ == mostTries_) {
    end(false);
    return;
  }
  clients_.timers.runAfter(randomDuration(clients_.random, kShortestPause, kLongestPause),
                           [self = shared_from_this()] { self->sendTurn(); });
}

void SoakProgram::sendTool(bool safe, int triesLeft) {
  SoakAttempt attempt;
  attempt.id = "q" + std::to_string(++clients_.nextId);
  attempt.route = safe ? SoakRoute::Safe : SoakRoute::Unsafe;
  attempt.program = id_;
  attempt.expectedInput = safe ? "" : "tool of " + id_;
  attempt.endsReplicas = endsReplicas_;
  attempt.isLateReturn = lateReturns_ > 0;
  attempt.expectedOutput = SoakReplica::plainAnswer(attempt.id);
  send(attempt, safe ? "GET" : "POST", safe ? "/safe/x" : "/unsafe/x", attempt.expectedInput,
       [self = shared_from_this(), attempt, triesLeft](const SoakAnswer& answer) {
         self->onTool(attempt, answer, triesLeft - 1);
       });
}

// Whatever becomes of the tool in the end, the program goes on: the soak is about its turns.
void SoakProgram::onTool(const SoakAttempt& attempt, const SoakAnswer& answer, int triesLeft) {
  if (triesLeft == 0 || !maySendAgain(attempt.route, answer)) {
    if (endsReplicas_) {
      end(false);
    } else {
      sendTurn();
    }
    return;
  }
  clients_.timers.runAfter(randomDuration(clients_.random, kShortestPause, kLongestPause),
                           [self = shared_from_this(), attempt, triesLeft] {
                             self->sendTool(attempt.route == SoakRoute::Safe, triesLeft);
                           });
}

void SoakProgram::tell(SoakStep step) const {
  if (clients_.onStep) {
    clients_.onStep(step, id_, tenant_);
  }
}

void SoakProgram::end(bool well) {
  if (endsReplicas_) {
    returnLate();
    return;
  }
  ++clients_.programsEnded;
  clients_.programsFailed += well ? 0 : 1;
  if (const auto onNearBudgetEnded = std::move(onNearBudgetEnded_)) {
    onNearBudgetEnded(well);
  }
  const auto onEnded = std::move(onEnded_);
  onEnded();
}

void SoakProgram::returnLate() {
  if (lateReturns_ == kLateReturns) {
    return;
  }
  ++lateReturns_;
  clients_.timers.runAfter(kLateReturnTime, [self = shared_from_this()] {
    if (self->endingRoute_ == SoakRoute::Safe) {
      self->sendTool(true, 1);
    } else {
      self->tries_ = self->mostTries_ - 1;
      self->sendTurn();
    }
  });
}

std::string SoakProgram::chooseNode(Gathered& gathered) {
  const std::optional<std::size_t> current = nodeChoice_.current();
  const bool connectionOpen =
      current && clients_.client.hasIdleConnection(clients_.nodes[*current]);
  const std::string& chosen = clients_.nodes[nodeChoice_.next(connectionOpen, clients_.random)];
  gathered.onKeptConnection = clients_.client.hasIdleConnection(chosen);
  clients_.sentOnKeptConnections += gathered.onKeptConnection ? 1 : 0;
  return chosen;
}

void SoakProgram::send(const SoakAttempt& attempt, const std::string& method,
                       const std::string& target, const std::string& body,
                       std::function<void(const SoakAnswer&)> onAnswer) {
  clients_.watcher.onSent(attempt);
  http::Request request;
  request.method = method;
  const auto gathered = std::make_shared<Gathered>();
  request.address = chooseNode(*gathered);
  request.target = target;
  request.body = body;
  request.timeLimit = kDeadline;
  request.connectTimeLimit = milliseconds(500);
  const Duration timeLeft = std::max(Duration::zero(), finishAt_ - steadyNow());
  request.headers = {
      {"Host", "h"},
      {platform::header::kProgramTimeLeftMs, std::to_string(timeLeft / milliseconds(1))},
      {platform::header::kRequestId, attempt.id},
      {platform::header::kProgramId, id_},
      {platform::header::kApiKey, apiKeyOf(tenant_)},
      {platform::header::kDeadlineMs, std::to_string(kDeadline.count() / 1000)}};
  const bool isTurn = attempt.route == SoakRoute::Turn || attempt.route == SoakRoute::Resumable;
  if (isTurn) {
    request.headers.push_back({platform::header::kTokenBudget, std::to_string(budget_)});
    request.headers.push_back(
        {platform::header::kTokenUsage, "100," + std::to_string(kTokensOfTurn)});
  }
  if (!attempt.resumes.empty()) {
    request.headers.push_back({platform::header::kResumes, attempt.resumes});
    request.headers.push_back({platform::header::kLastEventId, std::to_string(lastEvent_)});
  }
  if (attempt.continuesWholeTurn) {
    request.headers.push_back({platform::header::kPreviousTurn, previous_});
  }
  const auto finish = [this, id = attempt.id, gathered, onAnswer = std::move(onAnswer)] {
    if (gathered->answer.status == 0 || endsReplicas_) {
      nodeChoice_.onNoAnswer();
    }
    if (gathered->answer.status == 0) {
      clients_.unansweredOnKeptConnections += gathered->onKeptConnection ? 1 : 0;
    }
    clients_.watcher.onAnswer(id, gathered->answer);
    onAnswer(gathered->answer);
  };
  http::ResponseHandler handler;
  handler.onHead = [gathered](unsigned status, const std::vector<http::Header>& headers) {
    gathered->answer.status = status;
    gathered->answer.namesRetryTime = std::any_of(
        headers.begin(), headers.end(),
        [](const http::Header& header) { return header.name == platform::header::kRetryAfter; });
  };
  handler.onBody = [gathered](std::string_view part) { gathered->answer.body += part; };
  handler.onDone = [gathered, finish](const http::Response&) {
    gathered->answer.whole = true;
    finish();
  };
  handler.onFailure = [gathered, finish](const http::Failure& failure) {
    gathered->answer.notSent = failure.stage == http::FailureStage::NotSent;
    finish();
  };
  clients_.client.send(std::move(request), std::move(handler));
}

}  // namespace gorsetrail::lab
