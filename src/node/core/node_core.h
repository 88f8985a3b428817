/// \file All decisions of one node, composed: events in, commands out. The daemon drives it with
/// Asio; the lab drives hundreds of copies in one process with a seeded clock and network.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "bundle/bundle_holder.h"
#include "engine/call_interface.h"
#include "engine/hold_interface.h"
#include "membership/membership_service.h"
#include "program/program_service.h"
#include "wire/peer_message.h"

namespace gorsetrail::node {

using wire::PeerMessage;

struct NodeOptions {
  NodeId self;
  Incarnation incarnation;
  std::string zone;
  std::string site;
  std::vector<membership::Member> members;
  std::vector<bundle::Operator> trustAnchors;
  std::string policy = "prefix-affinity";
  std::uint64_t seed = 1;
  program::ProgramKnobs programKnobs;
  membership::MembershipKnobs membershipKnobs;
};

struct SendPeerMessage {
  NodeId to;
  PeerMessage message;
};
/// Append one record to a stream of the platform's log; answered by `onLogAppended`.
struct AppendLogRecord {
  std::string stream;
  std::uint64_t sequence = 0;  ///< Of this writer: readers deduplicate by writer and sequence.
  std::string record;
};
/// The program was closed (`handle` of the close request).
struct CloseCompleted {
  CallHandle handle;
};

using NodeCommand =
    std::variant<SendPeerMessage, AppendLogRecord, CloseCompleted, engine::StartDispatch,
                 engine::CancelDispatch, engine::AnswerChunk, engine::AnswerCompleted,
                 engine::AnswerRefused, engine::PlaceHold, engine::ReleaseHold, engine::ReadHolds>;

/// Load report of a back end, as its client read it.
struct BackendReport {
  std::string backendName;
  bool reachable = true;
  bool leaving = false;
  std::uint32_t runningStreams = 0;
  std::uint32_t queuedRequests = 0;
  std::uint32_t cacheUsedPerMille = 0;
};

/// Counters for `/metrics`; they only rise unless said otherwise.
struct NodeCounters {
  std::uint64_t callsArrived = 0;
  std::uint64_t callsCompleted = 0;
  std::uint64_t callsReplayed = 0;
  std::uint64_t callsRefused = 0;
  std::uint64_t callsUnknown = 0;
  std::uint64_t dispatches = 0;
  std::uint64_t retries = 0;
  std::uint64_t lateEventsDropped = 0;
  std::uint64_t bundlesRefused = 0;
  std::uint64_t promptTokens = 0;
  std::uint64_t cachedTokens = 0;
  std::uint64_t completionTokens = 0;
  std::uint64_t logEntriesAppended = 0;
  std::uint64_t logEntriesDropped = 0;  ///< The queue was full while the log was down.
  std::uint64_t digestsSent = 0;
  std::uint64_t callsUnderWay = 0;   ///< Gauge.
  std::uint64_t logQueuedBytes = 0;  ///< Gauge.
  std::uint64_t bundleVersion = 0;   ///< Gauge.
  std::uint64_t holdsPlaced = 0;     ///< First placings and moves to a longer prefix.
  std::uint64_t holdsRenewed = 0;
  std::uint64_t holdsReleased = 0;
  std::uint64_t holdsReaped = 0;       ///< Left over at an engine, and released there.
  std::uint64_t holdsExpired = 0;      ///< Not renewed in time.
  std::uint64_t holdsRefused = 0;      ///< By an engine, or by this node's bounds.
  std::uint64_t holdOrdersFailed = 0;  ///< Without a readable answer.
  std::uint64_t holdsHeld = 0;         ///< Gauge.
};

/// Single-threaded. Every `on...` may leave commands; the driver takes them after each event.
class NodeCore {
 public:
  virtual ~NodeCore() = default;
  virtual void onCall(engine::CallRequest request, Instant now) = 0;
  virtual void onCallerGone(CallHandle handle, Instant now) = 0;
  virtual void onCloseProgram(CallHandle handle, const ProgramKey& key, Instant now) = 0;
  virtual void onDispatchEvent(CallHandle handle, const engine::DispatchEvent& event,
                               Instant now) = 0;
  virtual void onPeerMessage(NodeId from, const PeerMessage& message, Instant now) = 0;
  virtual void onBundleEnvelope(std::string_view envelope, Instant now) = 0;  ///< In log order.
  virtual void onMachineList(const std::vector<membership::MachineListEntry>& lines,
                             Instant now) = 0;
  virtual void onBackendReport(const BackendReport& report, Instant now) = 0;
  virtual void onLogAppended(std::uint64_t sequence, bool taken, Instant now) = 0;
  virtual void onHoldResult(const engine::HoldResult& /*result*/, Instant /*now*/) {}
  virtual void onHoldInventory(const engine::HoldInventory& /*inventory*/, Instant /*now*/) {}
  virtual void onTick(Instant now) = 0;  ///< Every 10 ms.
  virtual void beginStop(Instant now) = 0;
  [[nodiscard]] virtual bool isDrained() const = 0;
  [[nodiscard]] virtual std::shared_ptr<const bundle::Bundle> bundleInForce() const = 0;
  [[nodiscard]] virtual std::optional<program::ProgramSummary> programSummary(
      const ProgramKey& key) const = 0;
  [[nodiscard]] virtual const membership::MembershipService& membership() const = 0;
  [[nodiscard]] virtual NodeCounters counters() const = 0;
  /// \return back ends that this node should poll for load now (it observes its share of them).
  [[nodiscard]] virtual std::vector<bundle::Backend> observedBackends() const = 0;
  [[nodiscard]] virtual std::vector<NodeCommand> takeCommands() = 0;
};
using NodeCorePtr = std::unique_ptr<NodeCore>;

NodeCorePtr makeNodeCore(NodeOptions options);

}  // namespace gorsetrail::node
