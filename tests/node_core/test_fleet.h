/// \file Several real node cores under virtual time, with back ends whose answers a test decides.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "bundle/bundle_samples.h"
#include "node/core/node_core.h"

namespace gorsetrail::node {

/// What became of a caller's request.
struct CallerView {
  std::string streamed;
  std::vector<engine::AnswerCompleted> completed;
  std::vector<engine::AnswerRefused> refused;
  std::size_t closed = 0;
  [[nodiscard]] bool isAnswered() const { return !completed.empty() || !refused.empty(); }
};

/// A dispatch that a back end got.
struct SeenDispatch {
  NodeId node;
  engine::StartDispatch command;
  Instant at{};
};

class TestFleet {
 public:
  using Backend = std::function<void(const SeenDispatch&)>;

  explicit TestFleet(std::size_t nodesInZone, std::vector<std::string> zones = {"hall-1"}) {
    std::uint32_t number = 0;
    for (const std::string& zone : zones) {
      for (std::size_t index = 0; index < nodesInZone; ++index) {
        ++number;
        const std::string port = std::to_string(18000 + number);
        members_.push_back({NodeId(number), zone, "127.0.0.1:" + port, "127.0.0.1:2" + port});
      }
    }
    for (const membership::Member& member : members_) {
      start(member.node, Incarnation(1));
    }
  }

  void start(NodeId node, Incarnation incarnation) {
    NodeOptions options;
    options.self = node;
    options.incarnation = incarnation;
    options.zone = members_[node.value() - 1].zone;
    options.site = "paino-lumo";
    options.members = members_;
    options.trustAnchors = {operator_.publicPart()};
    options.seed = node.value() + 100 * incarnation.value();
    cores_[node] = makeNodeCore(options);
  }
  void kill(NodeId node) { cores_.erase(node); }

  nlohmann::json sample(std::uint64_t version, std::uint64_t base) const {
    return bundle::sampleBundle(version, base, {operator_});
  }
  std::string seal(const nlohmann::json& bundle) const {
    return bundle::sealedBy({operator_}, bundle);
  }
  void publish(const nlohmann::json& bundle) {
    const std::string envelope = seal(bundle);
    for (auto& [node, core] : cores_) {
      core->onBundleEnvelope(envelope, now);
    }
  }
  void publishSample() { publish(sample(1, 0)); }

  /// Runs virtual time on, tick by tick.
  void run(Duration span) {
    for (const Instant end = now + span; now < end;) {
      now += milliseconds(10);
      deliver();
      for (auto& [node, core] : cores_) {
        core->onTick(now);
      }
      collect();
    }
  }

  NodeCore& core(std::uint32_t node) { return *cores_.at(NodeId(node)); }

  static engine::CallRequest request(std::uint64_t handle, const std::string& work,
                                     const std::string& requestId, bool repeatable) {
    engine::CallRequest call;
    call.handle = CallHandle(handle);
    call.key = {"hall-1", "press-a", "order-17"};
    call.idempotencyKey = requestId;
    call.repeatable = repeatable;
    call.work = work;
    call.messages = R"([{"role":"user","content":"check page 3"}])";
    call.body = R"({"model":")" + work + R"(","messages":)" + call.messages + "}";
    call.maximumTokens = 50;
    call.timeLimit = seconds(20);
    return call;
  }
  static engine::CallRequest proof(std::uint64_t handle, const std::string& requestId) {
    return request(handle, "proof-assistant", requestId, true);
  }
  static engine::CallRequest press(std::uint64_t handle, const std::string& requestId) {
    return request(handle, "release-to-press", requestId, false);
  }

  void call(std::uint32_t node, const engine::CallRequest& request) {
    core(node).onCall(request, now);
    collect();
  }
  void report(const SeenDispatch& dispatch, const engine::DispatchEvent& event) {
    const auto found = cores_.find(dispatch.node);
    if (found != cores_.end()) {
      found->second->onDispatchEvent(dispatch.command.handle, event, now);
    }
  }
  void finish(const SeenDispatch& dispatch, const std::string& answer) {
    report(dispatch, engine::DispatchFinished{dispatch.command.id.attempt, answer, 10, 4, 3});
  }
  void hangUp(const SeenDispatch& dispatch) {
    report(dispatch, engine::DispatchBroken{dispatch.command.id.attempt, "hung up"});
  }

  /// \return every dispatch that a back end got.
  std::vector<SeenDispatch> dispatchesTo(const std::string& name) const {
    std::vector<SeenDispatch> found;
    for (const SeenDispatch& seen : dispatches) {
      if (seen.command.backendName == name) {
        found.push_back(seen);
      }
    }
    return found;
  }

  Instant now{seconds(1000)};
  Backend backend;  ///< Called for each dispatch when it is delivered; may be empty.
  std::vector<SeenDispatch> dispatches;
  std::vector<engine::CancelDispatch> cancels;
  std::vector<AppendLogRecord> appends;
  std::map<std::string, engine::PlaceHold> holds;  ///< By name, until released.
  std::vector<engine::ReadHolds> holdReadings;
  engine::HoldOutcome holdOutcome = engine::HoldOutcome::Done;
  bool logTakes = true;
  std::set<NodeId> cutOff;  ///< Their peer messages are lost.
  std::size_t digestBytes = 0;
  std::size_t digests = 0;
  std::map<CallHandle, CallerView> callers;

 private:
  struct Envelope {
    NodeId from;
    NodeId to;
    PeerMessage message;
  };

  void deliver() {
    std::vector<Envelope> messages = std::exchange(inTransit_, {});
    for (const Envelope& envelope : messages) {
      const auto target = cores_.find(envelope.to);
      const bool lost = cutOff.contains(envelope.from) || cutOff.contains(envelope.to);
      if (target != cores_.end() && !lost) {
        target->second->onPeerMessage(envelope.from, envelope.message, now);
      }
    }
    const std::vector<SeenDispatch> started = std::exchange(undelivered_, {});
    for (const SeenDispatch& dispatch : started) {
      if (backend) {
        backend(dispatch);
      }
    }
    collect();
  }

  void collect() {
    for (auto& [node, core] : cores_) {
      for (NodeCommand& command : core->takeCommands()) {
        std::visit([&, from = node](auto& kind) { take(from, kind); }, command);
      }
    }
  }

  void take(NodeId from, SendPeerMessage& command) {
    if (const auto* const load = std::get_if<engine::ObservationMessage>(&command.message)) {
      ++digests;
      digestBytes += std::get<engine::LoadDigest>(*load).replicas.size() * kReplicaLoadBytes;
    }
    inTransit_.push_back({from, command.to, std::move(command.message)});
  }
  void take(NodeId from, AppendLogRecord& command) {
    appends.push_back(command);
    cores_.at(from)->onLogAppended(command.sequence, logTakes, now);
  }
  void take(NodeId, CloseCompleted& command) { ++callers[command.handle].closed; }
  void take(NodeId from, engine::StartDispatch& command) {
    dispatches.push_back({from, command, now});
    undelivered_.push_back(dispatches.back());
  }
  void take(NodeId from, engine::PlaceHold& command) {
    holds[engine::holdNameOf(command.program, command.epoch)] = command;
    cores_.at(from)->onHoldResult({command.order, command.backendName, holdOutcome}, now);
  }
  void take(NodeId from, engine::ReleaseHold& command) {
    holds.erase(engine::holdNameOf(command.program, command.epoch));
    cores_.at(from)->onHoldResult({command.order, command.backendName, holdOutcome}, now);
  }
  void take(NodeId, engine::ReadHolds& command) { holdReadings.push_back(command); }
  void take(NodeId, engine::CancelDispatch& command) { cancels.push_back(command); }
  void take(NodeId, engine::AnswerChunk& command) {
    callers[command.handle].streamed += command.text;
  }
  void take(NodeId, engine::AnswerCompleted& command) {
    callers[command.handle].completed.push_back(command);
  }
  void take(NodeId, engine::AnswerRefused& command) {
    callers[command.handle].refused.push_back(command);
  }

  static constexpr std::size_t kReplicaLoadBytes = 12;

  bundle::TestOperator operator_ = bundle::makeOperator("operator-a");
  std::vector<membership::Member> members_;
  std::map<NodeId, NodeCorePtr> cores_;
  std::vector<Envelope> inTransit_;
  std::vector<SeenDispatch> undelivered_;
};

}  // namespace gorsetrail::node
