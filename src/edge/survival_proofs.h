/// \file Finds proof that replicas outlived the interrupted runs of this node's requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/time.h"
#include "edge/run_history_directory.h"
#include "http/http_client.h"
#include "routing/request_key.h"
#include "services/timer_service.h"

namespace gorsetrail::edge {

/// Settings of `SurvivalProofs`.
struct SurvivalProofKnobs {
  Duration period = milliseconds(250);
  /// Pause between two probes of one replica; doubled after each that brings no proof.
  Duration firstProbePause = milliseconds(250);
  Duration longestProbePause = seconds(8);
  Duration probeTimeLimit = milliseconds(1000);
  /// A replica is probed if a request has so many counted runs: the next one would end its service.
  std::size_t countedRunsToProbe = 2;
  /// The oldest is given up beyond this number; it goes on counting until its record expires.
  std::size_t maximumRuns = 1024;
};

/// A run that was interrupted, or that goes on without its request.
struct InterruptedRun {
  routing::RequestKey request;
  std::uint64_t number = 0;  ///< In the record.
  std::string address;       ///< Of the replica.
  std::string healthPath;    ///< Of its service; empty: it cannot be probed.
  Instant sentAt;
  /// The replica may work on the run until then, whether or not its connection is open.
  Instant mayRunUntil;
};

/// A replica outlived a run if it answers a request that was sent after the run on a connection
/// that was opened before it: a connection does not outlive its process. Neither a registration
/// nor an answer on a later connection shows that, because the next process may have taken over the
/// id and the address, or the store may not have removed the entry yet.
///
/// Answers to ordinary requests are proof as well as those to probes. Times are of this node's
/// clock alone, so that only the node that dispatched a run looks for its proof.
class SurvivalProofs {
 public:
  /// All arguments outlive this object.
  SurvivalProofs(services::TimerService& timers, std::function<Instant()> clock,
                 http::HttpClient& client, RunHistoryDirectory& histories,
                 SurvivalProofKnobs knobs = {});

  /// Looks for proof until the run is settled. A run that is watched already keeps its `sentAt`.
  void watch(InterruptedRun run);
  /// A replica answered a request.
  /// \param openedAt of the request's connection. \param sentAt of the request.
  void onAnswer(const std::string& address, Instant openedAt, Instant sentAt);
  /// \return the number of runs without proof.
  [[nodiscard]] std::size_t size() const { return runs_.size(); }

 private:
  struct Watched {
    InterruptedRun run;
    Instant nextProbeAt;
    Duration probePause;
  };
  void schedule();
  void removeSettled();
  void probeDueRuns();
  void probe(Watched& watched);

  services::TimerService& timers_;
  std::function<Instant()> clock_;
  http::HttpClient& client_;
  RunHistoryDirectory& histories_;
  SurvivalProofKnobs knobs_;
  std::vector<Watched> runs_;  ///< The oldest first.
  bool isScheduled_ = false;
};

}  // namespace gorsetrail::edge
