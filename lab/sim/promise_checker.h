/// \file Watches callers, back ends and operators from outside the nodes and checks the promises.
///
/// It shares no code with the nodes and sees only what a customer could see: requests and answers
/// at callers, requests at back ends, `/v1/status` of nodes, and what operators did.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "lab/sim/promise_report.h"
#include "lab/sim/request_tag.h"

namespace gorsetrail::sim {

/// What a request is, as its caller meant it.
struct RequestMeaning {
  bool application = false;
  bool repeatable = true;
};

/// A completed answer as a caller read it.
struct ReadAnswer {
  std::string answer;
  bool streamed = false;
  bool replayed = false;
  std::string chunks;  ///< Concatenated, when streamed.
};

/// Limits that the checker holds the nodes to.
struct CheckerLimits {
  std::uint32_t callsPerProgram = 0;
  std::uint64_t tokensPerProgram = 0;
  Duration leavingGrace = seconds(5);
  Duration bundleGrace = seconds(10);
  Duration orphanGrace = seconds(60);  ///< After the program's or the call's time is over.
};

/// On order: a node that was fenced without knowing may start a repeatable call that a stale caller
/// asks for again; the fence keeps its answer from everybody. So a run out of order breaks the
/// promise if it cannot be undone (not repeatable) or if its answer reaches a caller; others are
/// counted (`runsOutOfOrder`).
class PromiseChecker {
 public:
  PromiseChecker(const CheckerLimits& limits, PromiseReport& report)
      : limits_(limits), report_(report) {}

  /// \name Callers
  /// @{
  void onSubmitted(const RequestTag& tag, const RequestMeaning& meaning);
  void onCompleted(const RequestTag& tag, const ReadAnswer& answer, Instant now);
  /// \param saidAt when the node said so; a paused caller reads it later.
  void onRefused(const RequestTag& tag, const Error& error, Instant saidAt);
  /// A request ended without any answer (connection broken, or the caller gave up or died).
  void onAbandoned(const RequestTag& tag);
  void onProgramGone(const std::string& program, Instant now);
  /// An auditor asked again for a request that was acknowledged before.
  void onAuditAnswer(const RequestTag& tag, const std::optional<std::string>& answer,
                     const std::string& error, Instant now);
  /// An auditor read a program's history (`GET /v1/programs/NAME`).
  void onHistoryRead(const std::string& program, const std::string& history, Instant now);
  /// @}

  /// \name Back ends
  /// @{
  void onDispatchArrived(const std::string& backend, Instant now);
  void onRunStarted(const RequestTag& tag, const std::string& dispatch, Instant now);
  void onRunFinished(const RequestTag& tag, const std::string& dispatch, const std::string& answer,
                     std::uint32_t tokens, Instant now);
  /// From now on nodes can know that it is leaving (its load report, a refusal, or the bundle says
  /// so), or it serves again.
  void onBackendLeaving(const std::string& backend, bool leaving, Instant now);
  /// An engine works on a stream that began at `since` for a call with that time limit.
  void onStreamHeld(const std::string& engine, const RequestTag& tag, Instant since,
                    Duration timeLimit, Instant now);
  /// An engine keeps a prefix for a program.
  void onPrefixHeld(const std::string& engine, const std::string& program, Instant now);
  /// @}

  /// \name Operators and status pages
  /// @{
  /// `cutOff`: requests in flight at the node whose answers its planned stop took away.
  void onPlannedStop(NodeId node, std::size_t cutOff, bool drained, Instant now);
  void onBundleSeen(NodeId node, Incarnation incarnation, BundleVersion version, Instant now);
  /// `dueSince`: since when the node could have had that version.
  void onBundleDue(NodeId node, BundleVersion seen, BundleVersion accepted, Instant dueSince,
                   Instant now);
  /// @}

  /// \return requests with an acknowledged answer, in order.
  [[nodiscard]] std::vector<RequestTag> acknowledged() const;
  [[nodiscard]] std::optional<std::string> acknowledgedAnswer(const RequestTag& tag) const;
  [[nodiscard]] RequestMeaning meaningOf(const RequestTag& tag) const;
  [[nodiscard]] std::uint64_t runsStarted() const { return runsStarted_; }
  /// \return runs of repeatable calls that began after a later step had begun to run.
  [[nodiscard]] std::uint64_t runsOutOfOrder() const { return runsOutOfOrder_; }

 private:
  struct Request {
    RequestMeaning meaning;
    std::uint32_t open = 0;  ///< Submissions without an answer yet.
    std::uint32_t abandoned = 0;
    std::uint32_t runs = 0;
    std::optional<Instant> firstRunAt;
    bool toldNotRun = false;  ///< The latest answer; nothing was submitted since.
    std::optional<std::string> acknowledged;
    std::set<std::string> generated;
    std::set<std::string> outOfOrder;  ///< Answers of runs that began after a later step's.
    std::set<std::string> lateDispatches;
  };
  struct Program {
    std::set<RequestTag> runTags;
    std::uint64_t tokens = 0;
    std::map<std::string, std::uint32_t> highestRun;  ///< By branch.
    std::optional<Instant> goneAt;
  };
  struct SeenBundle {
    Incarnation incarnation;
    BundleVersion version;
  };

  CheckerLimits limits_;
  PromiseReport& report_;
  std::map<RequestTag, Request> requests_;
  std::map<std::string, Program> programs_;
  std::map<std::string, Instant> leavingSince_;
  std::map<NodeId, SeenBundle> bundles_;
  std::set<std::pair<std::string, RequestTag>> orphans_;
  std::set<std::pair<std::string, std::string>> orphanPrefixes_;
  std::uint64_t runsStarted_ = 0;
  std::uint64_t runsOutOfOrder_ = 0;
};

}  // namespace gorsetrail::sim
