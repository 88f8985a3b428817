/// \file The node core: passes events to its parts and their commands on.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "node/core/call_runner.h"
#include "node/core/load_observation.h"
#include "node/core/log_writer.h"
#include "node/core/node_core.h"
#include "node/core/node_services.h"
#include "node/core/program_views.h"

namespace gorsetrail::node {

class ComposedNodeCore : public NodeCore {
 public:
  ComposedNodeCore(NodeOptions options, NodeServices services);

  void onCall(engine::CallRequest request, Instant now) override;
  void onCallerGone(CallHandle handle, Instant now) override;
  void onCloseProgram(CallHandle handle, const ProgramKey& key, Instant now) override;
  void onDispatchEvent(CallHandle handle, const engine::DispatchEvent& event, Instant now) override;
  void onPeerMessage(NodeId from, const PeerMessage& message, Instant now) override;
  void onBundleEnvelope(std::string_view envelope, Instant now) override;
  void onMachineList(const std::vector<membership::MachineListEntry>& lines, Instant now) override;
  void onBackendReport(const BackendReport& report, Instant now) override;
  void onLogAppended(std::uint64_t sequence, bool taken, Instant now) override;
  void onHoldResult(const engine::HoldResult& result, Instant now) override;
  void onHoldInventory(const engine::HoldInventory& inventory, Instant now) override;
  void onTick(Instant now) override;
  void beginStop(Instant now) override;
  [[nodiscard]] bool isDrained() const override;
  [[nodiscard]] std::shared_ptr<const bundle::Bundle> bundleInForce() const override;
  [[nodiscard]] std::optional<program::ProgramSummary> programSummary(
      const ProgramKey& key) const override;
  [[nodiscard]] const membership::MembershipService& membership() const override;
  [[nodiscard]] NodeCounters counters() const override;
  [[nodiscard]] std::vector<bundle::Backend> observedBackends() const override;
  [[nodiscard]] std::vector<NodeCommand> takeCommands() override;

 private:
  /// Applies the commands of all parts until none is left.
  void settle(Instant now);
  bool settleOnce(Instant now);
  void apply(program::ProgramCommand& command, Instant now);
  void apply(membership::MembershipCommand& command, Instant now);
  void sendJournal(program::SendJournalMessage& command, Instant now);
  void endProgram(ProgramId program, Instant now);
  void refuseByProgram(const program::CallRefused& refused, Instant now);
  void refuse(CallHandle handle, bool certainlyNew, Error error);
  void takeCall(CheckedCall checked, Instant now);
  void handle(NodeId from, const bundle::DistributionMessage& message, Instant now);
  void fetchBundle(NodeId peer, Instant now);
  void useBundle(Instant now);
  void updateObservation();
  void sendDigests(Instant now);

  NodeOptions options_;
  membership::MembershipServicePtr membership_;
  ConfiguredReplicaGroups groups_;
  MembershipLiveness liveness_;
  program::ProgramServicePtr program_;
  bundle::BundleHolder bundles_;
  CallRunner runner_;
  LoadObservation observation_;
  LogWriter log_;
  std::vector<NodeCommand> commands_;
  std::map<ProgramId, std::vector<CallHandle>> closing_;
  std::map<CallHandle, ProgramId> closingByHandle_;
  NodeCounters counters_;
  bool stopping_ = false;
  bool observationStale_ = false;
  Instant nextBundleFetch_{};
};

}  // namespace gorsetrail::node
