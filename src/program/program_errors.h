/// \file Errors of the program subsystem, each with its remedy and the true outcome.
#pragma once

#include <cstddef>
#include <string>

#include "base/error.h"
#include "program/journal_interface.h"

namespace gorsetrail::program {

/// \return what is true of a call whose outcome was written, but is not known to stand.
RunOutcome outcomeBeforeItStands(CallStatus status);

Error ownedElsewhereError(std::string location);
Error staleEpochError(RunOutcome outcome);
Error quorumUnavailableError(RunOutcome outcome);
/// The home zone's nodes all restarted: whether the request ran before is not known any more.
Error journalLostError(const std::string& zone);
Error homeZoneUnreachableError(const std::string& zone);
Error queueFullError(std::size_t limit);
Error requestConflictError();
Error programClosedError();
Error programNotFoundError();
Error programFullError(std::size_t limit);
Error nodeStoppingError();
Error queueDeadlineError();
/// \return what to tell whoever asks again for a call that ended without an answer.
Error endedWithoutAnswerError(CallStatus status);

}  // namespace gorsetrail::program
