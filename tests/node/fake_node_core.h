/// \file A core that only notes what it is told; tests leave the commands it should give.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "node/core/node_core.h"

namespace gorsetrail::node {

class FakeMembership final : public membership::MembershipService {
 public:
  bool addMember(membership::Member /*member*/) override { return true; }
  void removeMember(NodeId /*node*/) override {}
  [[nodiscard]] bool knows(NodeId /*node*/) const override { return true; }
  void onMembershipMessage(NodeId /*from*/, const membership::MembershipMessage& /*message*/,
                           Instant /*now*/) override {}
  void onMachineList(const std::vector<membership::MachineListEntry>& /*lines*/,
                     Instant /*now*/) override {}
  void onTick(Instant /*now*/) override {}
  void announceBackend(std::uint32_t /*hash*/, bool /*leaving*/, Instant /*now*/) override {}
  void setActiveBundleVersion(BundleVersion /*version*/) override {}
  void beginLeave(Instant /*now*/) override {}
  [[nodiscard]] membership::MemberState stateOf(NodeId node) const override {
    return node == NodeId(1) ? membership::MemberState::Alive : membership::MemberState::Suspected;
  }
  [[nodiscard]] Incarnation incarnationOf(NodeId /*node*/) const override { return Incarnation(7); }
  [[nodiscard]] const std::vector<membership::Member>& members() const override { return list; }
  [[nodiscard]] std::vector<membership::MembershipCommand> takeCommands() override { return {}; }

  std::vector<membership::Member> list;
};

class FakeNodeCore final : public NodeCore {
 public:
  void onCall(engine::CallRequest request, Instant /*now*/) override {
    calls.push_back(std::move(request));
  }
  void onCallerGone(CallHandle handle, Instant /*now*/) override { gone.push_back(handle); }
  void onCloseProgram(CallHandle handle, const ProgramKey& key, Instant /*now*/) override {
    closes.emplace_back(handle, key);
  }
  void onDispatchEvent(CallHandle /*handle*/, const engine::DispatchEvent& /*event*/,
                       Instant /*now*/) override {}
  void onPeerMessage(NodeId /*from*/, const PeerMessage& /*message*/, Instant /*now*/) override {}
  void onBundleEnvelope(std::string_view envelope, Instant /*now*/) override {
    envelopes.emplace_back(envelope);
  }
  void onMachineList(const std::vector<membership::MachineListEntry>& lines,
                     Instant /*now*/) override {
    machineLines = lines;
  }
  void onBackendReport(const BackendReport& report, Instant /*now*/) override {
    reports.push_back(report);
  }
  void onLogAppended(std::uint64_t sequence, bool taken, Instant /*now*/) override {
    appended.emplace_back(sequence, taken);
  }
  void onTick(Instant /*now*/) override { ++ticks; }
  void beginStop(Instant /*now*/) override { stopping = true; }
  [[nodiscard]] bool isDrained() const override { return stopping && drained; }
  [[nodiscard]] std::shared_ptr<const bundle::Bundle> bundleInForce() const override {
    return inForce;
  }
  [[nodiscard]] std::optional<program::ProgramSummary> programSummary(
      const ProgramKey& key) const override {
    return summary && summary->key == key ? summary : std::nullopt;
  }
  [[nodiscard]] const membership::MembershipService& membership() const override { return members; }
  [[nodiscard]] NodeCounters counters() const override { return figures; }
  [[nodiscard]] std::vector<bundle::Backend> observedBackends() const override { return observed; }
  [[nodiscard]] std::vector<NodeCommand> takeCommands() override {
    return std::exchange(commands, {});
  }

  std::vector<engine::CallRequest> calls;
  std::vector<CallHandle> gone;
  std::vector<std::pair<CallHandle, ProgramKey>> closes;
  std::vector<std::string> envelopes;
  std::vector<membership::MachineListEntry> machineLines;
  std::vector<BackendReport> reports;
  std::vector<std::pair<std::uint64_t, bool>> appended;
  std::vector<bundle::Backend> observed;
  std::vector<NodeCommand> commands;
  std::shared_ptr<const bundle::Bundle> inForce;
  std::optional<program::ProgramSummary> summary;
  FakeMembership members;
  NodeCounters figures;
  int ticks = 0;
  bool stopping = false;
  bool drained = true;
};

}  // namespace gorsetrail::node
