/// \file Checks the promises from outside the nodes: it knows only what callers and back ends saw.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lab/load/observation.h"
#include "lab/load/promise_tally.h"

namespace gorsetrail::load {

/// Budgets of a site's bundle, as the checker holds the nodes to them.
struct ProgramLimits {
  std::uint32_t callsPerProgram = 0;
  std::uint64_t tokensPerProgram = 0;
};

/// Pure: no I/O, no clock. Feed it observations in the order in which they were made, then call
/// `finish`.
class PromiseChecker {
 public:
  /// \param bundleGrace time in which an accepted bundle is in force everywhere.
  explicit PromiseChecker(Duration bundleGrace) : bundleGrace_(bundleGrace) {}

  void setLimits(const std::string& site, const std::string& tenant, ProgramLimits limits) {
    limits_[{site, tenant}] = limits;
  }

  void on(const CallStarted& started);
  void on(const CallAnswered& answered);
  void on(const CallRefused& refused);
  void on(const AttemptEnded& ended);
  void on(const ProgramEnded& ended);
  void on(const HistorySeen& seen);
  void on(const StatusSeen& seen);
  void on(const RunsCounted& counted);
  void on(const LeavingWatched& watched);
  void on(const HoldsSeen& seen);

  /// Makes the checks that need the whole run.
  /// \param runsKnown whether every application back end told its runs; without them the checks
  /// of `not_run` and at most once cannot be made.
  void finish(bool runsKnown);

  [[nodiscard]] const PromiseTally& tally() const { return tally_; }

 private:
  struct SiteTenant {
    std::string site;
    std::string tenant;
    auto operator<=>(const SiteTenant&) const = default;  // NOLINT(modernize-use-nullptr)
  };
  struct Call {
    CallStarted started;
    std::optional<CallAnswered> answered;  ///< The first whole answer.
    std::optional<RunOutcome> lastTold;
    bool everToldNotRun = false;
  };
  struct Branch {
    std::uint32_t lastSequence = 0;
    std::uint32_t lastCallNumber = 0;
  };
  struct Program {
    std::map<std::string, Branch> branches;
    std::vector<std::string> rootAnswers;
    std::uint32_t calls = 0;
    std::uint64_t tokens = 0;
  };
  struct NodeStatus {
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    Instant firstSeen;
  };
  struct SiteBundle {
    std::uint64_t highest = 0;
    Instant since;
    std::map<std::uint32_t, NodeStatus> nodes;
  };

  void checkRepeat(const Call& call, const CallAnswered& answered);
  void checkOrder(const Call& call, const CallAnswered& answered);
  void checkEngineAnswer(const Call& call, const CallAnswered& answered);
  void checkApplicationAnswer(const Call& call, const CallAnswered& answered);
  void checkBudget(const Call& call, const CallAnswered& answered);
  void checkForeignAnswers(const HistorySeen& seen);
  void checkRuns(const Call& call);

  Duration bundleGrace_;
  PromiseTally tally_;
  std::map<SiteTenant, ProgramLimits> limits_;
  std::map<std::string, Call> calls_;  ///< By idempotency key.
  /// By digest of the messages: a double run counts under whatever keys the nodes sent it.
  std::map<std::string, std::uint32_t> runsByContent_;
  std::map<ProgramIdentity, Program> programs_;
  std::map<std::string, SiteBundle> bundles_;
};

}  // namespace gorsetrail::load
