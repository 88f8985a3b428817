/// \file The calls under way at a node, each with its state machine, and the back ends they use.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "bundle/bundle.h"
#include "engine/backend_table.h"
#include "engine/call_machine.h"
#include "engine/hold_ledger.h"
#include "engine/prefix_cursor.h"
#include "engine/retry_budget.h"
#include "node/core/call_checks.h"
#include "node/core/node_core.h"
#include "node/core/tenant_budgets.h"
#include "scheduling/scheduling_policy.h"

namespace gorsetrail::node {

/// Drives the state machines of calls: places attempts, passes events in and actions out.
class CallRunner {
 public:
  CallRunner(std::string zone, std::uint64_t seed, std::size_t configuredNodes,
             scheduling::SchedulingPolicyPtr policy, const engine::RetryKnobs& knobs = {});

  void setBundle(std::shared_ptr<const bundle::Bundle> bundle, Instant now);
  /// Takes a checked call, reserves its tokens and starts its life.
  /// \return the refusal if the tenant's share is used up; the call is not taken then.
  std::optional<Error> submit(CheckedCall call, Instant now);

  /// \name Events; a handle that is not known here is ignored
  /// @{
  void onAdmitted(const program::CallAdmitted& admitted, Instant now);
  void onReplayed(const program::CallReplayed& replayed, Instant now);
  void onProgramRefused(const program::CallRefused& refused, Instant now);
  void onOutcomeRecorded(const program::OutcomeRecorded& recorded, Instant now);
  void onDispatchEvent(CallHandle handle, const engine::DispatchEvent& event, Instant now);
  void onCallerGone(CallHandle handle, Instant now);
  void onTick(Instant now);
  void onProgramEnded(ProgramId program, Instant now);
  void onHoldResult(const engine::HoldResult& result, Instant now);
  void onHoldInventory(const engine::HoldInventory& inventory, Instant now);
  /// Planned stop: no prefix is held any more.
  void beginStop(Instant now);
  /// @}

  [[nodiscard]] bool knows(CallHandle handle) const { return calls_.contains(handle); }
  [[nodiscard]] std::size_t underWay() const { return calls_.size(); }
  [[nodiscard]] engine::BackendTable& backends() { return backends_; }
  [[nodiscard]] const engine::BackendTable& backends() const { return backends_; }
  void addTo(NodeCounters& counters) const;

  /// An ended call whose outcome the program service shall record.
  struct OutcomeToRecord {
    CallHandle handle;
    program::CallOutcome outcome;
  };
  /// \name What has to be done; each is cleared by taking it
  /// @{
  [[nodiscard]] std::vector<NodeCommand> takeCommands();
  [[nodiscard]] std::vector<OutcomeToRecord> takeOutcomes();
  /// \return back ends that refused work since they are leaving.
  [[nodiscard]] std::vector<std::string> takeLeavingBackends();
  /// @}

 private:
  struct Call {
    Call(CheckedCall checked, const engine::RetryKnobs& knobs, engine::RetryBudget& budget,
         RandomSource& random);
    std::string tenant;
    std::string work;
    std::uint64_t reservedTokens;
    std::uint64_t attainedTokens = 0;
    ProgramId program;
    Epoch epoch;                                 ///< Of the admission; 0 before.
    std::optional<engine::PrefixCursor> prompt;  ///< Only when it may be worth a hold.
    std::string occupied;  ///< Back end whose own calls count this one; empty when none.
    engine::CallFigures counted;
    engine::CallMachine machine;
  };

  void perform(Call& call, Instant now);
  void performActions(Call& call, Instant now);
  void perform(Call& call, const engine::ChooseReplica& action, Instant now);
  void perform(Call& call, const engine::RecordOutcome& action, Instant now);
  void perform(Call& call, engine::StartDispatch& action, Instant now);
  void perform(Call& call, engine::CancelDispatch& action, Instant now);
  void perform(Call& call, engine::AnswerChunk& action, Instant now);
  void perform(Call& call, engine::AnswerCompleted& action, Instant now);
  void perform(Call& call, engine::AnswerRefused& action, Instant now);
  void noteAtBackend(Call& call, const engine::DispatchEvent& event, Instant now);
  [[nodiscard]] engine::CandidateSet candidatesOf(const Call& call, Instant now) const;
  [[nodiscard]] scheduling::CallDescription describe(
      const Call& call, std::vector<scheduling::ReplicaIndex> candidates,
      const std::optional<engine::PreviousReplica>& previous) const;
  void notePrompt(Call& call, const program::CallAdmission& admission) const;
  void holdPrefix(const Call& call, const engine::AnswerCompleted& answer, Instant now);
  void countFigures(Call& call);
  void countEnd(const Call& call);
  void end(Call& call, Instant now);

  std::string zone_;
  RandomSource random_;
  scheduling::SchedulingPolicyPtr policy_;
  engine::RetryKnobs knobs_;
  engine::RetryBudget retryBudget_;
  std::shared_ptr<const bundle::Bundle> bundle_;
  TenantBudgets tenantBudgets_;
  engine::BackendTable backends_;
  engine::PreviousReplicas previous_;
  engine::HoldLedger holds_;
  std::unordered_map<CallHandle, std::unique_ptr<Call>> calls_;
  Instant nextWake_ = Instant::max();
  std::vector<NodeCommand> commands_;
  std::vector<OutcomeToRecord> outcomes_;
  std::vector<std::string> leavingBackends_;
  NodeCounters counters_;
};

}  // namespace gorsetrail::node
