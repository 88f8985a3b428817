/// \file Interface to the unanswered runs of requests that nodes share with each other.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "routing/run_histories.h"

namespace gorsetrail::edge {

/// Records the runs that replicas did not answer, and decides whether a request may run again. A
/// client sends a failed request again under a new ID, often at another node.
class RunHistoryDirectory {
 public:
  RunHistoryDirectory() = default;
  virtual ~RunHistoryDirectory() = default;
  RunHistoryDirectory(const RunHistoryDirectory&) = delete;
  RunHistoryDirectory& operator=(const RunHistoryDirectory&) = delete;

  /// \return whether no request has unanswered runs; then none needs a key.
  [[nodiscard]] virtual bool isEmpty() const = 0;
  [[nodiscard]] virtual bool hasHistory(const routing::RequestKey& request) const = 0;
  /// \return the number of the request's runs that count.
  [[nodiscard]] virtual std::size_t countedRuns(const routing::RequestKey& request) const = 0;
  /// \return whether it is not known what became of the run.
  [[nodiscard]] virtual bool isUncertain(const routing::RequestKey& request,
                                         std::uint64_t number) const = 0;
  /// \return a number for a new run.
  [[nodiscard]] virtual std::uint64_t nextRunNumber() = 0;
  /// See `routing::RunHistories::runSince`.
  [[nodiscard]] virtual std::optional<std::uint64_t> runSince(const routing::RequestKey& request,
                                                              const routing::ReplicaRun& run,
                                                              Instant since) const = 0;
  /// Records an uncertain run here and at all nodes. Call it before the request is dispatched again
  /// or answered, so that no node finds the next attempt before the record. Does not block.
  /// \param run number and replica.
  virtual void record(const routing::RequestKey& request, routing::ReplicaRun run,
                      Duration keepFor) = 0;
  /// Settles a run here and at all nodes.
  virtual void settle(const routing::RequestKey& request, std::uint64_t number,
                      routing::RunState state, routing::RunEvidence evidence) = 0;
  /// Clears the runs that were interrupted until then, here and at all nodes.
  /// \param session whose runs; unset: those of all.
  virtual void clear(const routing::RequestKey& request, std::optional<std::uint32_t> session,
                     Instant until, routing::RunEvidence evidence) = 0;
  /// \return whether the request may be dispatched, by what this node knows.
  [[nodiscard]] virtual routing::QuarantineDecision decide(
      const routing::RequestKey& request) const = 0;
};

}  // namespace gorsetrail::edge
