#include "cli/exit_code.h"

namespace gorsetrail::cli {

ExitCode exitCodeOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::MalformedRequest:
    case ErrorKind::RequestTooLarge:
    case ErrorKind::MissingField:
    case ErrorKind::InvalidField:
    case ErrorKind::UnknownField:
    case ErrorKind::InvalidBundle:
    case ErrorKind::InvalidSettings:
      return ExitCode::BadInput;
    case ErrorKind::BundleConflict:
    case ErrorKind::BundleTooOld:
      return ExitCode::Conflict;
    case ErrorKind::PlatformUnavailable:
    case ErrorKind::OutcomeNotKnown:
      return ExitCode::PlatformUnavailable;
    default:
      return ExitCode::Refused;
  }
}

}  // namespace gorsetrail::cli
