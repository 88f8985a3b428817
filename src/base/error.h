/// \file Typed errors with the place of the fault, its reason and a remedy.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace gorsetrail {

/// Execution state of a request that was answered with an error.
enum class RunOutcome : std::uint8_t {
  NotRun,          ///< Never dispatched.
  OutcomeUnknown,  ///< May have run; retry with the same request id.
  Completed,       ///< Ran, and its answer is stored.
};

/// Kind of an error. Each kind has one HTTP status and one stable name (see `errorKindName`).
enum class ErrorKind : std::uint8_t {
  MalformedRequest,
  RequestTooLarge,
  MissingField,
  InvalidField,
  UnknownField,
  UnknownModel,
  UnknownTenant,
  WorkNotAllowed,
  BundleNotInForce,
  InvalidBundle,
  InvalidSignature,
  BundleConflict,
  BundleTooOld,
  ProgramOwnedElsewhere,
  ProgramClosed,
  ProgramNotFound,
  HistoryMismatch,
  RequestConflict,
  BudgetExceeded,
  AdmissionRefused,
  NoBackendAvailable,
  BackendRefused,
  BackendFailed,
  DeadlineExceeded,
  OutcomeNotKnown,
  QuorumUnavailable,
  HomeZoneUnreachable,
  StaleEpoch,
  NodeStopping,
  InvalidSettings,
  PlatformUnavailable,
  InvalidFrame,
  Internal,
};

/// \return the stable snake_case name of a kind, used in answers, logs and metrics.
std::string_view errorKindName(ErrorKind kind);
/// \return `not_run`, `outcome_unknown` or `completed`.
std::string_view runOutcomeName(RunOutcome outcome);
/// \return the HTTP status of responses with this kind.
unsigned httpStatusOf(ErrorKind kind);

/// An error as a value.
struct Error {
  ErrorKind kind = ErrorKind::Internal;
  std::string field;  ///< File, key, header or JSON path at fault; may be empty.
  std::string reason;
  std::string remedy;  ///< What the caller or operator should do.
  RunOutcome outcome = RunOutcome::NotRun;
  /// Delay before a retry, in seconds; 0 when a retry does not help.
  std::uint32_t retryAfterSeconds = 0;
  /// Redirect address (`ProgramOwnedElsewhere` only), otherwise empty.
  std::string location = {};

  /// \return one line: `kind field: reason; remedy`.
  [[nodiscard]] std::string toText() const;
};

}  // namespace gorsetrail
