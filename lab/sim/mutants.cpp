#include "lab/sim/mutants.h"

#include <algorithm>
#include <deque>
#include <utility>

#include "bundle/bundle_holder.h"
#include "lab/sim/forwarding_core.h"

namespace gorsetrail::sim {
namespace {

using node::NodeCommand;

/// Sends an application request of an earlier call again when a later call is dispatched.
class ReplayOldDispatch final : public ForwardingCore {
 public:
  using ForwardingCore::ForwardingCore;
  std::vector<NodeCommand> takeCommands() override {
    std::vector<NodeCommand> commands = inner().takeCommands();
    std::vector<NodeCommand> replayed;
    for (const NodeCommand& command : commands) {
      const auto* start = std::get_if<engine::StartDispatch>(&command);
      if (start != nullptr && start->resumeFrom == 0) {
        replayEarlier(replayed, *start);
      }
    }
    std::move(replayed.begin(), replayed.end(), std::back_inserter(commands));
    return commands;
  }

 private:
  void replayEarlier(std::vector<NodeCommand>& replayed, const engine::StartDispatch& current) {
    const auto earlier = last_.find(current.id.program);
    if (earlier != last_.end() && earlier->second.id.call < current.id.call) {
      engine::StartDispatch again = earlier->second;
      again.id.attempt = AttemptNumber(again.id.attempt.value() + 100);
      replayed.emplace_back(std::move(again));
      last_.erase(earlier);
    }
    if (current.application) {
      last_[current.id.program] = current;
    }
  }
  std::map<ProgramId, engine::StartDispatch> last_;
};

/// Tells owners that journal entries are stored, and stores none.
class ForgetJournal final : public ForwardingCore {
 public:
  ForgetJournal(node::NodeCorePtr core, NodeId self)
      : ForwardingCore(std::move(core)), self_(self) {}
  void onPeerMessage(NodeId from, const node::PeerMessage& message, Instant now) override {
    const auto* journal = std::get_if<program::JournalMessage>(&message);
    const auto* append =
        journal == nullptr ? nullptr : std::get_if<program::AppendRequest>(journal);
    if (append == nullptr || from == self_) {
      inner().onPeerMessage(from, message, now);
      return;
    }
    program::AppendReply reply;
    reply.program = append->program;
    reply.epoch = append->epoch;
    reply.promised = append->epoch;
    if (!append->entries.empty()) {
      reply.storedThrough = append->entries.back().sequence;
    } else if (append->base && !append->base->entries.empty()) {
      reply.storedThrough = append->base->entries.back().sequence;
    }
    lies_.emplace_back(node::SendPeerMessage{from, program::JournalMessage(reply)});
  }
  std::vector<NodeCommand> takeCommands() override {
    std::vector<NodeCommand> commands = inner().takeCommands();
    std::move(lies_.begin(), lies_.end(), std::back_inserter(commands));
    lies_.clear();
    return commands;
  }

 private:
  NodeId self_;
  std::vector<NodeCommand> lies_;
};

/// Has a bundle with twice the budgets in force.
class DoubledBudget final : public ForwardingCore {
 public:
  DoubledBudget(node::NodeCorePtr core, const Scenario& scenario)
      : ForwardingCore(std::move(core)), scenario_(scenario) {}
  void onBundleEnvelope(std::string_view envelope, Instant now) override {
    const Result<bundle::SignedBundle> decoded = bundle::decodeEnvelope(envelope);
    if (!succeeded(decoded)) {
      return;
    }
    const auto parsed = bundle::parseBundle(valueOf(decoded).bundleJson);
    const auto* original = std::get_if<bundle::Bundle>(&parsed);
    if (original == nullptr) {
      return;
    }
    BundleChoice choice;
    choice.version = original->version;
    choice.latencyWeight = original->latencyWeight;
    choice.callsPerProgram = 2 * scenario_.budget.calls;
    choice.tokensPerProgram = 2 * scenario_.budget.tokens;
    inner().onBundleEnvelope(makeEnvelope(scenario_, choice), now);
  }

 private:
  const Scenario& scenario_;
};

/// Never tells an engine that nobody waits for a stream any more.
class NeverCancel final : public ForwardingCore {
 public:
  using ForwardingCore::ForwardingCore;
  std::vector<NodeCommand> takeCommands() override {
    std::vector<NodeCommand> commands = inner().takeCommands();
    std::erase_if(commands, [](const NodeCommand& command) {
      return std::holds_alternative<engine::CancelDispatch>(command);
    });
    return commands;
  }
};

/// Never releases a hold, and makes each last for a day.
class EndlessHolds final : public ForwardingCore {
 public:
  using ForwardingCore::ForwardingCore;
  std::vector<NodeCommand> takeCommands() override {
    std::vector<NodeCommand> commands = inner().takeCommands();
    std::erase_if(commands, [](const NodeCommand& command) {
      return std::holds_alternative<engine::ReleaseHold>(command);
    });
    for (NodeCommand& command : commands) {
      if (auto* place = std::get_if<engine::PlaceHold>(&command)) {
        place->deadline = std::chrono::hours(24);
      }
    }
    return commands;
  }
};

/// Gives every other answer to the wrong caller.
class CrossAnswers final : public ForwardingCore {
 public:
  using ForwardingCore::ForwardingCore;
  std::vector<NodeCommand> takeCommands() override {
    std::vector<NodeCommand> commands = inner().takeCommands();
    for (NodeCommand& command : commands) {
      auto* completed = std::get_if<engine::AnswerCompleted>(&command);
      if (completed != nullptr && !completed->replayed) {
        std::swap(completed->answer, previous_);
        if (completed->answer.empty()) {
          completed->answer = previous_;
        }
      }
    }
    return commands;
  }

 private:
  std::string previous_;
};

/// Says `not_run` when it does not know.
class LieNotRun final : public ForwardingCore {
 public:
  using ForwardingCore::ForwardingCore;
  std::vector<NodeCommand> takeCommands() override {
    std::vector<NodeCommand> commands = inner().takeCommands();
    for (NodeCommand& command : commands) {
      if (auto* refused = std::get_if<engine::AnswerRefused>(&command)) {
        refused->error.outcome = RunOutcome::NotRun;
      }
    }
    return commands;
  }
};

/// Dispatches non-repeatable requests twice.
class DispatchTwice final : public ForwardingCore {
 public:
  using ForwardingCore::ForwardingCore;
  std::vector<NodeCommand> takeCommands() override {
    std::vector<NodeCommand> commands = inner().takeCommands();
    std::vector<NodeCommand> repeated;
    for (const NodeCommand& command : commands) {
      const auto* start = std::get_if<engine::StartDispatch>(&command);
      if (start != nullptr && start->application) {
        engine::StartDispatch again = *start;
        again.id.attempt = AttemptNumber(again.id.attempt.value() + 100);
        repeated.emplace_back(std::move(again));
      }
    }
    std::move(repeated.begin(), repeated.end(), std::back_inserter(commands));
    return commands;
  }
};

/// Sends engine calls to the first engine of the bundle, whatever is known of it.
class IgnoreLeaving final : public ForwardingCore {
 public:
  IgnoreLeaving(node::NodeCorePtr core, const Scenario& scenario)
      : ForwardingCore(std::move(core)) {
    for (const BackendName& backend : backendsOf(scenario)) {
      if (!backend.application && target_.name.empty()) {
        target_ = backend;
      }
    }
  }
  std::vector<NodeCommand> takeCommands() override {
    std::vector<NodeCommand> commands = inner().takeCommands();
    for (NodeCommand& command : commands) {
      auto* start = std::get_if<engine::StartDispatch>(&command);
      if (start != nullptr && !start->application && start->resumeFrom == 0) {
        start->backendName = target_.name;
        start->address = target_.address;
      }
    }
    return commands;
  }

 private:
  BackendName target_;
};

/// Ends at once when it is asked to stop.
class StopAtOnce final : public ForwardingCore {
 public:
  using ForwardingCore::ForwardingCore;
  void beginStop(Instant now) override {
    stopping_ = true;
    inner().beginStop(now);
  }
  [[nodiscard]] bool isDrained() const override { return stopping_ || inner().isDrained(); }

 private:
  bool stopping_ = false;
};

/// Keeps the first bundle it ever had.
class KeepFirstBundle final : public ForwardingCore {
 public:
  using ForwardingCore::ForwardingCore;
  void onBundleEnvelope(std::string_view envelope, Instant now) override {
    if (!inner().bundleInForce()) {
      inner().onBundleEnvelope(envelope, now);
    }
  }
  void onPeerMessage(NodeId from, const node::PeerMessage& message, Instant now) override {
    if (!std::holds_alternative<bundle::DistributionMessage>(message)) {
      inner().onPeerMessage(from, message, now);
    }
  }
};

const std::vector<MutantInfo> kMutants = {
    {"replay-old-dispatch", Promise::CallOrder, "everything-twice",
     "dispatches an earlier application request again after a later call"},
    {"forget-journal", Promise::History, "runner-death",
     "acknowledges journal entries without storing them"},
    {"doubled-budget", Promise::Budget, "looping-programs", "lets programs use twice their budget"},
    {"never-cancel", Promise::EngineMemory, "tool-hang", "never cancels a stream"},
    {"endless-holds", Promise::EngineMemory, "drain-race", "never gives up a hold on a prefix"},
    {"cross-answers", Promise::WholeAnswer, "everything-twice",
     "gives answers to the wrong callers"},
    {"lie-not-run", Promise::NotRun, "everything-twice", "says not run when it does not know"},
    {"dispatch-twice", Promise::AtMostOnce, "everything-twice",
     "dispatches non-repeatable requests twice"},
    {"ignore-leaving", Promise::LeavingBackend, "drain-race",
     "sends work to an engine that is leaving"},
    {"stop-at-once", Promise::PlannedStop, "planned-stop", "stops with requests in flight"},
    {"keep-first-bundle", Promise::Bundle, "drain-race", "never takes a newer bundle"},
};

}  // namespace

const std::vector<MutantInfo>& mutants() { return kMutants; }

const MutantInfo* findMutant(std::string_view name) {
  const auto found = std::find_if(kMutants.begin(), kMutants.end(),
                                  [name](const MutantInfo& mutant) { return mutant.name == name; });
  return found == kMutants.end() ? nullptr : &*found;
}

CoreFactory makeCoreFactory(std::string_view name, const Scenario& scenario) {
  return [name = std::string(name), &scenario](node::NodeOptions options) -> node::NodeCorePtr {
    const NodeId self = options.self;
    node::NodeCorePtr core = node::makeNodeCore(std::move(options));
    if (name == "replay-old-dispatch") {
      return std::make_unique<ReplayOldDispatch>(std::move(core));
    }
    if (name == "forget-journal") {
      return std::make_unique<ForgetJournal>(std::move(core), self);
    }
    if (name == "doubled-budget") {
      return std::make_unique<DoubledBudget>(std::move(core), scenario);
    }
    if (name == "never-cancel") {
      return std::make_unique<NeverCancel>(std::move(core));
    }
    if (name == "endless-holds") {
      return std::make_unique<EndlessHolds>(std::move(core));
    }
    if (name == "cross-answers") {
      return std::make_unique<CrossAnswers>(std::move(core));
    }
    if (name == "lie-not-run") {
      return std::make_unique<LieNotRun>(std::move(core));
    }
    if (name == "dispatch-twice") {
      return std::make_unique<DispatchTwice>(std::move(core));
    }
    if (name == "ignore-leaving") {
      return std::make_unique<IgnoreLeaving>(std::move(core), scenario);
    }
    if (name == "stop-at-once") {
      return std::make_unique<StopAtOnce>(std::move(core));
    }
    if (name == "keep-first-bundle") {
      return std::make_unique<KeepFirstBundle>(std::move(core));
    }
    return core;
  };
}

}  // namespace gorsetrail::sim
