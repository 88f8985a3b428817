#include "program/program_errors.h"

#include <utility>

namespace gorsetrail::program {
namespace {

constexpr std::uint32_t kRetrySoonSeconds = 1;
constexpr const char* kAskAgain = "ask again with the same request id";

}  // namespace

RunOutcome outcomeBeforeItStands(CallStatus status) {
  return status == CallStatus::NotRun ? RunOutcome::NotRun : RunOutcome::OutcomeUnknown;
}

Error ownedElsewhereError(std::string location) {
  return Error{ErrorKind::ProgramOwnedElsewhere,
               "",
               "another live node owns the program",
               "send the call to the node named in Location",
               RunOutcome::NotRun,
               0,
               std::move(location)};
}

Error staleEpochError(RunOutcome outcome) {
  return Error{ErrorKind::StaleEpoch,
               "",
               "another node took the program over",
               outcome == RunOutcome::NotRun
                   ? kAskAgain
                   : "ask again with the same request id to learn what the journal says of it",
               outcome,
               kRetrySoonSeconds};
}

Error quorumUnavailableError(RunOutcome outcome) {
  return Error{ErrorKind::QuorumUnavailable,
               "",
               "too few of the nodes that keep the program's journal answered in time",
               "ask again with the same request id; if it lasts, the operators should look at the "
               "home zone's nodes",
               outcome,
               kRetrySoonSeconds};
}

Error journalLostError(const std::string& zone) {
  return Error{
      ErrorKind::OutcomeNotKnown, "Idempotency-Key",
      "the nodes of zone " + zone +
          " that keep the journal all restarted; the request may have run before",
      "check at the back end by request id; if it did not run, send it in a new program of "
      "another home zone, or of this one after 30 minutes",
      RunOutcome::OutcomeUnknown};
}

Error homeZoneUnreachableError(const std::string& zone) {
  return Error{ErrorKind::HomeZoneUnreachable, "Gorsetrail-Zone",
               "no node of zone " + zone + " is known here",
               "name a zone of the site, or leave the header out for this node's own zone",
               RunOutcome::NotRun};
}

Error queueFullError(std::size_t limit) {
  return Error{ErrorKind::AdmissionRefused,
               "",
               std::to_string(limit) + " calls of this program wait already",
               "come back when earlier calls have ended",
               RunOutcome::NotRun,
               kRetrySoonSeconds};
}

Error requestConflictError() {
  return Error{ErrorKind::RequestConflict, "Idempotency-Key",
               "the same request id came before with another content",
               "use a new request id for a new request", RunOutcome::NotRun};
}

Error programClosedError() {
  return Error{ErrorKind::ProgramClosed, "Gorsetrail-Program", "the program was closed",
               "open a new program under another name", RunOutcome::NotRun};
}

Error programNotFoundError() {
  return Error{ErrorKind::ProgramNotFound, "Gorsetrail-Program",
               "no journal of this program is kept", "check name, tenant and zone",
               RunOutcome::NotRun};
}

Error programFullError(std::size_t limit) {
  return Error{ErrorKind::RequestTooLarge, "Gorsetrail-Program",
               "the program's journal exceeds " + std::to_string(limit) + " bytes",
               "close the program and go on in a new one", RunOutcome::NotRun};
}

Error nodeStoppingError() {
  return Error{ErrorKind::NodeStopping, "",
               "this node is stopping", "send the call to another node of the zone",
               RunOutcome::NotRun,      kRetrySoonSeconds};
}

Error queueDeadlineError() {
  return Error{ErrorKind::DeadlineExceeded, "Gorsetrail-Timeout-Ms",
               "the time limit passed while earlier calls of the program ran",
               "give a longer time limit, or a sub-agent its own program under "
               "Gorsetrail-Parent",
               RunOutcome::NotRun};
}

Error endedWithoutAnswerError(CallStatus status) {
  switch (status) {
    case CallStatus::NotRun:
      return Error{ErrorKind::BackendRefused, "",
                   "the request was not run", kAskAgain,
                   RunOutcome::NotRun,        kRetrySoonSeconds};
    case CallStatus::Failed:
      return Error{ErrorKind::BackendFailed, "Idempotency-Key",
                   "the back end reported that the request failed",
                   "check at the back end by request id, then use a new request id",
                   RunOutcome::OutcomeUnknown};
    case CallStatus::Completed:
    case CallStatus::Unknown:
      break;
  }
  return Error{ErrorKind::OutcomeNotKnown, "Idempotency-Key",
               "the request may have run, and its answer is not known",
               "check at the back end by request id; it is never run again under this id",
               RunOutcome::OutcomeUnknown};
}

}  // namespace gorsetrail::program
