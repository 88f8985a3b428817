/// \file Interface to the unanswered runs of requests that nodes share with each other.
#pragma once

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
  /// \return a number for a new run.
  [[nodiscard]] virtual std::uint64_t nextRunNumber() = 0;
  /// See `routing::RunHistories::runSince`.
  [[nodiscard]] virtual std::optional<std::uint64_t> runSince(const routing::RequestKey& request,
                                                              const routing::ReplicaRun& run,
                                                              Instant since) const = 0;
  /// Records a run here and at all nodes. Call it before the request is dispatched again or
  /// answered, so that no node finds the next attempt before the record. Does not block.
  /// \param run number, replica and state.
  virtual void record(const routing::RequestKey& request, routing::ReplicaRun run,
                      Duration keepFor) = 0;
  /// A replica answered the request whole: its earlier runs do not count.
  virtual void recordAnswer(const routing::RequestKey& request) = 0;
  /// \return whether the request may be dispatched, by what this node knows.
  [[nodiscard]] virtual routing::QuarantineDecision decide(
      const routing::RequestKey& request) const = 0;
};

}  // namespace gorsetrail::edge
