/// \file Measures one node core from outside: processor time inside it, bytes it sends to peers.
#pragma once

#include <array>
#include <cstdint>

#include "lab/sim/forwarding_core.h"
#include "wire/send_queue.h"

namespace gorsetrail::sim {

/// What one node used. Times are of the thread's processor clock, bytes those of `encodeFrame`.
struct NodeUsage {
  std::uint64_t coreNanoseconds = 0;   ///< Inside the node core.
  std::uint64_t codecNanoseconds = 0;  ///< Encoding what it sends; outside the core.
  /// Bytes of whole frames less the text of messages and answers, by subsystem.
  std::array<std::uint64_t, wire::kSubsystemCount> controlBytes{};
  std::array<std::uint64_t, wire::kSubsystemCount> frames{};
  std::uint64_t textBytes = 0;  ///< Text of messages and answers in journal entries: data.
};

/// \return bytes of the message and answer texts that a peer message carries.
std::uint64_t textBytesOf(const wire::PeerMessage& message);

class MeasuredCore final : public ForwardingCore {
 public:
  /// \param usage outlives the core. Nothing is counted while `*measuring` is false.
  MeasuredCore(node::NodeCorePtr core, NodeId self, NodeUsage& usage, const bool& measuring)
      : ForwardingCore(std::move(core)), self_(self), usage_(usage), measuring_(measuring) {}

  void onCall(engine::CallRequest request, Instant now) override;
  void onCallerGone(CallHandle handle, Instant now) override;
  void onCloseProgram(CallHandle handle, const ProgramKey& key, Instant now) override;
  void onDispatchEvent(CallHandle handle, const engine::DispatchEvent& event, Instant now) override;
  void onPeerMessage(NodeId from, const node::PeerMessage& message, Instant now) override;
  void onBundleEnvelope(std::string_view envelope, Instant now) override;
  void onMachineList(const std::vector<membership::MachineListEntry>& lines, Instant now) override;
  void onBackendReport(const node::BackendReport& report, Instant now) override;
  void onLogAppended(std::uint64_t sequence, bool taken, Instant now) override;
  void onHoldResult(const engine::HoldResult& result, Instant now) override;
  void onHoldInventory(const engine::HoldInventory& inventory, Instant now) override;
  void onTick(Instant now) override;
  std::vector<node::NodeCommand> takeCommands() override;

 private:
  void countFrame(const node::SendPeerMessage& command);

  NodeId self_;
  NodeUsage& usage_;
  const bool& measuring_;
};

}  // namespace gorsetrail::sim
