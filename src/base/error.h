/// \file Typed errors. Every error names what is wrong, where, and what to do about it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace gorsetrail {

/// What is known about the run of the request that an error answers.
enum class RunOutcome : std::uint8_t {
  NotRun,          ///< Certainly never dispatched.
  OutcomeUnknown,  ///< It may have run; ask again with the same request id.
  Completed,       ///< It ran, and the answer is stored.
};

/// Kind of an error; each kind has one HTTP status and one stable text (see `errorKindName`).
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
/// \return the HTTP status a caller gets for a kind.
unsigned httpStatusOf(ErrorKind kind);

/// An error as a value. `field` names the file, key, header or JSON path at fault (may be empty).
struct Error {
  ErrorKind kind = ErrorKind::Internal;
  std::string field;
  std::string reason;
  std::string remedy;
  RunOutcome outcome = RunOutcome::NotRun;
  /// Seconds after which the caller should come back; 0 when coming back does not help.
  std::uint32_t retryAfterSeconds = 0;
  /// Address to go to instead (`ProgramOwnedElsewhere` only), else empty.
  std::string location = {};

  /// \return one line: `kind field: reason; remedy`.
  [[nodiscard]] std::string toText() const;
};

}  // namespace gorsetrail
