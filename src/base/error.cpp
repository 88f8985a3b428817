#include "base/error.h"

#include <array>

namespace gorsetrail {
namespace {

struct KindFacts {
  ErrorKind kind;
  std::string_view name;
  unsigned httpStatus;
};

constexpr std::array kKinds = {
    KindFacts{ErrorKind::MalformedRequest, "malformed_request", 400},
    KindFacts{ErrorKind::RequestTooLarge, "request_too_large", 413},
    KindFacts{ErrorKind::MissingField, "missing_field", 400},
    KindFacts{ErrorKind::InvalidField, "invalid_field", 400},
    KindFacts{ErrorKind::UnknownField, "unknown_field", 400},
    KindFacts{ErrorKind::UnknownModel, "unknown_model", 404},
    KindFacts{ErrorKind::UnknownTenant, "unknown_tenant", 403},
    KindFacts{ErrorKind::WorkNotAllowed, "work_not_allowed", 403},
    KindFacts{ErrorKind::BundleNotInForce, "bundle_not_in_force", 503},
    KindFacts{ErrorKind::InvalidBundle, "invalid_bundle", 400},
    KindFacts{ErrorKind::InvalidSignature, "invalid_signature", 400},
    KindFacts{ErrorKind::BundleConflict, "bundle_conflict", 409},
    KindFacts{ErrorKind::BundleTooOld, "bundle_too_old", 409},
    KindFacts{ErrorKind::ProgramOwnedElsewhere, "program_owned_elsewhere", 307},
    KindFacts{ErrorKind::ProgramClosed, "program_closed", 409},
    KindFacts{ErrorKind::ProgramNotFound, "program_not_found", 404},
    KindFacts{ErrorKind::HistoryMismatch, "history_mismatch", 409},
    KindFacts{ErrorKind::RequestConflict, "request_conflict", 409},
    KindFacts{ErrorKind::BudgetExceeded, "budget_exceeded", 402},
    KindFacts{ErrorKind::AdmissionRefused, "admission_refused", 429},
    KindFacts{ErrorKind::NoBackendAvailable, "no_backend_available", 503},
    KindFacts{ErrorKind::BackendRefused, "backend_refused", 502},
    KindFacts{ErrorKind::BackendFailed, "backend_failed", 502},
    KindFacts{ErrorKind::DeadlineExceeded, "deadline_exceeded", 504},
    KindFacts{ErrorKind::OutcomeNotKnown, "outcome_not_known", 502},
    KindFacts{ErrorKind::QuorumUnavailable, "quorum_unavailable", 503},
    KindFacts{ErrorKind::HomeZoneUnreachable, "home_zone_unreachable", 503},
    KindFacts{ErrorKind::StaleEpoch, "stale_epoch", 409},
    KindFacts{ErrorKind::NodeStopping, "node_stopping", 503},
    KindFacts{ErrorKind::InvalidSettings, "invalid_settings", 500},
    KindFacts{ErrorKind::PlatformUnavailable, "platform_unavailable", 503},
    KindFacts{ErrorKind::InvalidFrame, "invalid_frame", 400},
    KindFacts{ErrorKind::Internal, "internal", 500},
};

const KindFacts& factsOf(ErrorKind kind) {
  for (const KindFacts& facts : kKinds) {
    if (facts.kind == kind) {
      return facts;
    }
  }
  return kKinds.back();
}

}  // namespace

std::string_view errorKindName(ErrorKind kind) { return factsOf(kind).name; }

unsigned httpStatusOf(ErrorKind kind) { return factsOf(kind).httpStatus; }

std::string_view runOutcomeName(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::NotRun:
      return "not_run";
    case RunOutcome::OutcomeUnknown:
      return "outcome_unknown";
    case RunOutcome::Completed:
      return "completed";
  }
  return "outcome_unknown";
}

std::string Error::toText() const {
  std::string text(errorKindName(kind));
  if (!field.empty()) {
    text += " " + field;
  }
  return text + ": " + reason + "; " + remedy;
}

}  // namespace gorsetrail
