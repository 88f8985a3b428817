/// \file A node core that passes everything on to another; mutants change one point of it.
#pragma once

#include <utility>

#include "node/core/node_core.h"

namespace gorsetrail::sim {

class ForwardingCore : public node::NodeCore {
 public:
  explicit ForwardingCore(node::NodeCorePtr inner) : inner_(std::move(inner)) {}

  void onCall(engine::CallRequest request, Instant now) override {
    inner_->onCall(std::move(request), now);
  }
  void onCallerGone(CallHandle handle, Instant now) override { inner_->onCallerGone(handle, now); }
  void onCloseProgram(CallHandle handle, const ProgramKey& key, Instant now) override {
    inner_->onCloseProgram(handle, key, now);
  }
  void onDispatchEvent(CallHandle handle, const engine::DispatchEvent& event,
                       Instant now) override {
    inner_->onDispatchEvent(handle, event, now);
  }
  void onPeerMessage(NodeId from, const node::PeerMessage& message, Instant now) override {
    inner_->onPeerMessage(from, message, now);
  }
  void onBundleEnvelope(std::string_view envelope, Instant now) override {
    inner_->onBundleEnvelope(envelope, now);
  }
  void onMachineList(const std::vector<membership::MachineListEntry>& lines, Instant now) override {
    inner_->onMachineList(lines, now);
  }
  void onBackendReport(const node::BackendReport& report, Instant now) override {
    inner_->onBackendReport(report, now);
  }
  void onLogAppended(std::uint64_t sequence, bool taken, Instant now) override {
    inner_->onLogAppended(sequence, taken, now);
  }
  void onHoldResult(const engine::HoldResult& result, Instant now) override {
    inner_->onHoldResult(result, now);
  }
  void onHoldInventory(const engine::HoldInventory& inventory, Instant now) override {
    inner_->onHoldInventory(inventory, now);
  }
  void onTick(Instant now) override { inner_->onTick(now); }
  void beginStop(Instant now) override { inner_->beginStop(now); }
  [[nodiscard]] bool isDrained() const override { return inner_->isDrained(); }
  [[nodiscard]] std::shared_ptr<const bundle::Bundle> bundleInForce() const override {
    return inner_->bundleInForce();
  }
  [[nodiscard]] std::optional<program::ProgramSummary> programSummary(
      const ProgramKey& key) const override {
    return inner_->programSummary(key);
  }
  [[nodiscard]] const membership::MembershipService& membership() const override {
    return inner_->membership();
  }
  [[nodiscard]] node::NodeCounters counters() const override { return inner_->counters(); }
  [[nodiscard]] std::vector<bundle::Backend> observedBackends() const override {
    return inner_->observedBackends();
  }
  [[nodiscard]] std::vector<node::NodeCommand> takeCommands() override {
    return inner_->takeCommands();
  }

 protected:
  node::NodeCore& inner() { return *inner_; }
  [[nodiscard]] const node::NodeCore& inner() const { return *inner_; }

 private:
  node::NodeCorePtr inner_;
};

}  // namespace gorsetrail::sim
