#include "base/error.h"

#include <array>

namespace gorsetrail {
namespace {

struct KindDescription {
  ErrorKind kind;
  std::string_view name;
  unsigned httpStatus;
};

constexpr std::array kKinds = {
    KindDescription{ErrorKind::MalformedRequest, "malformed_request", 400},
    KindDescription{ErrorKind::RequestTooLarge, "request_too_large", 413},
    KindDescription{ErrorKind::MissingField, "missing_field", 400},
    KindDescription{ErrorKind::InvalidField, "invalid_field", 400},
    KindDescription{ErrorKind::UnknownField, "unknown_field", 400},
    KindDescription{ErrorKind::UnknownModel, "unknown_model", 404},
    KindDescription{ErrorKind::UnknownTenant, "unknown_tenant", 403},
    KindDescription{ErrorKind::WorkNotAllowed, "work_not_allowed", 403},
    KindDescription{ErrorKind::BundleNotInForce, "bundle_not_in_force", 503},
    KindDescription{ErrorKind::InvalidBundle, "invalid_bundle", 400},
    KindDescription{ErrorKind::InvalidSignature, "invalid_signature", 400},
    KindDescription{ErrorKind::BundleConflict, "bundle_conflict", 409},
    KindDescription{ErrorKind::BundleTooOld, "bundle_too_old", 409},
    KindDescription{ErrorKind::ProgramOwnedElsewhere, "program_owned_elsewhere", 307},
    KindDescription{ErrorKind::ProgramClosed, "program_closed", 409},
    KindDescription{ErrorKind::ProgramNotFound, "program_not_found", 404},
    KindDescription{ErrorKind::HistoryMismatch, "history_mismatch", 409},
    KindDescription{ErrorKind::RequestConflict, "request_conflict", 409},
    KindDescription{ErrorKind::BudgetExceeded, "budget_exceeded", 402},
    KindDescription{ErrorKind::AdmissionRefused, "admission_refused", 429},
    KindDescription{ErrorKind::NoBackendAvailable, "no_backend_available", 503},
    KindDescription{ErrorKind::BackendRefused, "backend_refused", 502},
    KindDescription{ErrorKind::BackendFailed, "backend_failed", 502},
    KindDescription{ErrorKind::DeadlineExceeded, "deadline_exceeded", 504},
    KindDescription{ErrorKind::OutcomeNotKnown, "outcome_not_known", 502},
    KindDescription{ErrorKind::QuorumUnavailable, "quorum_unavailable", 503},
    KindDescription{ErrorKind::HomeZoneUnreachable, "home_zone_unreachable", 503},
    KindDescription{ErrorKind::StaleEpoch, "stale_epoch", 409},
    KindDescription{ErrorKind::NodeStopping, "node_stopping", 503},
    KindDescription{ErrorKind::InvalidSettings, "invalid_settings", 500},
    KindDescription{ErrorKind::PlatformUnavailable, "platform_unavailable", 503},
    KindDescription{ErrorKind::InvalidFrame, "invalid_frame", 400},
    KindDescription{ErrorKind::Internal, "internal", 500},
};

const KindDescription& descriptionOf(ErrorKind kind) {
  for (const KindDescription& description : kKinds) {
    if (description.kind == kind) {
      return description;
    }
  }
  return kKinds.back();
}

}  // namespace

std::string_view errorKindName(ErrorKind kind) { return descriptionOf(kind).name; }

unsigned httpStatusOf(ErrorKind kind) { return descriptionOf(kind).httpStatus; }

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
