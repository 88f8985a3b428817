/// \file A back end of the simulated site, as connections reach it.
#pragma once

#include <string>
#include <utility>

#include "engine/hold_interface.h"
#include "lab/sim/dispatch_connection.h"
#include "lab/sim/site.h"
#include "node/core/node_core.h"

namespace gorsetrail::sim {

/// Switches of `docs/STANDINS.md` that the fault schedule turns.
struct BackendFaults {
  bool leaving = false;
  bool hanging = false;
  std::uint32_t refuse = 0;        ///< Requests still to be refused.
  std::uint32_t breakStreams = 0;  ///< Streams still to be broken half way.
  std::uint32_t loseAnswers = 0;   ///< Answers still to be lost after the effect.
};

class SimBackend {
 public:
  SimBackend(SimContext& context, BackendName name) : context_(context), name_(std::move(name)) {}
  virtual ~SimBackend() = default;

  virtual void onRequest(const ConnectionPtr& connection, const engine::StartDispatch& command) = 0;
  virtual void onCancel(const DispatchId& id) = 0;
  /// Called every few seconds: what the back end still holds goes to the checker.
  virtual void inspect() {}
  [[nodiscard]] virtual node::BackendReport report() const;
  /// \name Holds; only engines have any
  /// @{
  virtual engine::HoldResult onPlaceHold(const engine::PlaceHold& command) {
    return {command.order, name_.name, engine::HoldOutcome::Failed};
  }
  virtual engine::HoldResult onReleaseHold(const engine::ReleaseHold& command) {
    return {command.order, name_.name, engine::HoldOutcome::Failed};
  }
  virtual engine::HoldInventory onReadHolds() { return {name_.name, {}}; }
  /// @}
  virtual void setHanging(bool hanging) { faults_.hanging = hanging; }

  [[nodiscard]] const BackendName& name() const { return name_; }
  [[nodiscard]] BackendFaults& faults() { return faults_; }
  /// Only an engine's load report says that it is leaving; an application is known to leave once
  /// it has refused a request, or once the bundle says so.
  void setLeaving(bool leaving);

 protected:
  /// Refuses by the request's id if the back end is leaving or told to. \return whether it did.
  bool refuses(const ConnectionPtr& connection);

  SimContext& context_;
  BackendName name_;
  BackendFaults faults_;
};

/// Runs non-repeatable requests; does not remember ids, so that every repetition shows.
class SimApplication final : public SimBackend {
 public:
  using SimBackend::SimBackend;
  void onRequest(const ConnectionPtr& connection, const engine::StartDispatch& command) override;
  void onCancel(const DispatchId& /*id*/) override {}  // What has begun cannot be taken back.

 private:
  std::uint64_t runs_ = 0;
};

}  // namespace gorsetrail::sim
