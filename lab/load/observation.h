/// \file What the load tool saw from outside the nodes; the promise checker is fed with these.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"

namespace gorsetrail::load {

/// Names a program of a site for the checker, and the id that the nodes give it.
struct ProgramIdentity {
  std::string site;
  ProgramKey key;  ///< Of the root program; branches share it.
  auto operator<=>(const ProgramIdentity&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// A call that the load tool is about to make; its key is unique in the run.
struct CallStarted {
  ProgramIdentity program;
  std::string branch;  ///< Empty for the root.
  std::string key;     ///< `Idempotency-Key`.
  std::string messagesDigest;
  bool application = false;
  std::uint32_t sequence = 0;  ///< Order in which the branch made its calls, from 1.
};

/// A whole answer as the caller read it.
struct CallAnswered {
  std::string key;
  std::string content;
  std::uint32_t callNumber = 0;  ///< `Gorsetrail-Call`; 0 when the answer does not tell.
  std::uint32_t promptTokens = 0;
  std::uint32_t cachedTokens = 0;
  std::uint32_t completionTokens = 0;
  bool replayed = false;
  bool ended = true;  ///< Streams: the last chunk and `[DONE]` came.
};

/// An error as the caller read it.
struct CallRefused {
  std::string key;
  std::string kind;
  RunOutcome outcome = RunOutcome::OutcomeUnknown;
};

/// An attempt that a node had accepted came to its end there.
struct AttemptEnded {
  std::string key;
  std::uint32_t node = 0;
  bool plannedStop = false;  ///< The node was only ever stopped in a planned way.
  bool broken = false;       ///< The connection broke before a whole response came.
};

/// The program made its last call.
struct ProgramEnded {
  ProgramIdentity program;
  bool looping = false;  ///< It would have gone on for ever.
  bool stoppedByBudget = false;
};

/// History that a node shows of a program, as JSON text.
struct HistorySeen {
  ProgramIdentity program;
  std::string history;
};

/// `GET /v1/status` of one node.
struct StatusSeen {
  std::string site;
  std::uint32_t node = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t bundleVersion = 0;
  Instant at;
};

/// Runs that one application back end counted; see `GET /v1/runs`.
struct RunsCounted {
  std::string content;  ///< Digest of the messages that it was asked with.
  std::uint32_t count = 0;
};

/// Requests that a back end has got while it was leaving.
struct LeavingWatched {
  std::string backend;
  std::uint64_t requestsAfterGrace = 0;  ///< When the grace was over.
  std::uint64_t requestsAtEnd = 0;       ///< When the watch ended.
};

/// Holds of one engine after the run.
struct HoldsSeen {
  std::string engine;
  std::uint32_t count = 0;
};

}  // namespace gorsetrail::load
