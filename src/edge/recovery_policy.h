/// \file Decides how to continue after a replica failed or refused a request. Does no I/O and reads
/// no clock.
#pragma once

#include <cstdint>

namespace gorsetrail::edge {

/// What is known about the execution of a request, over all its dispatches.
enum class ExecutionState : std::uint8_t {
  NotSent,      ///< The request was not dispatched to any replica.
  NotExecuted,  ///< No replica executed it: each one refused, or was sent no byte of it.
  Unknown,      ///< A replica executed it, may have executed it, or is executing it now.
};

/// \return whether the status tells the client that the request was not and will not be executed,
/// so that even a request that is not idempotent can be sent again.
[[nodiscard]] bool impliesNotExecuted(unsigned status);

/// Every refusal must take its status from here, so that it never claims "not executed" wrongly.
/// \return `status` if it agrees with `known`, else 502, which makes no claim about execution.
[[nodiscard]] unsigned statusConsistentWith(unsigned status, ExecutionState known);

/// State of a request at the moment at which a replica failed or refused it.
struct FailedDispatch {
  bool mayHaveRunThere = false;       ///< This replica may have begun to execute the request.
  bool mayHaveRun = false;            ///< This or an earlier replica may have executed it.
  bool streamBegun = false;           ///< The client has received the head of a stream.
  bool mayRerun = false;              ///< Idempotent, with attempts and time left.
  bool mayTryAnotherReplica = false;  ///< Replicas that did not execute it may still be tried.
  bool mayRetrySameReplica = false;   ///< It ran there before and was refused for lack of capacity.
};

/// Ordered from the least to the greatest loss for the client.
enum class RecoveryStep : std::uint8_t {
  Rerun,                 ///< Dispatch again, to any replica; the request may have run before.
  TryAnotherReplica,     ///< The request did not run at this one.
  RetrySameReplica,      ///< After a pause, because the route allows no further replica.
  Refuse,                ///< Answer with a status that implies "not executed".
  FailWithUnknownState,  ///< Answer with a status that makes no claim about execution.
  AbortStream,           ///< Close the connection: the client already has part of a stream.
};

/// \return the next step. `Refuse` is chosen only if no replica may have executed the request;
/// after an execution only idempotent requests are dispatched again.
[[nodiscard]] RecoveryStep nextStep(const FailedDispatch& failed);

}  // namespace gorsetrail::edge
