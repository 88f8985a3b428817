/// \file Opens the bundle log, its history and a publisher from command flags.
#pragma once

#include <memory>

#include "cli/command.h"
#include "cli/publisher.h"

namespace gorsetrail::cli {

/// Bundle log, history and publisher of one command. Not movable, because the publisher refers to
/// the other members.
class LogSession {
 public:
  /// Reads the settings file and then the whole bundle stream.
  /// \return the session, or the first error of flags, settings or log.
  static Result<std::unique_ptr<LogSession>> open(CommandContext& context);

  LogSession(const LogSession&) = delete;
  LogSession& operator=(const LogSession&) = delete;

  [[nodiscard]] const BundleHistory& history() const { return history_; }
  Publisher& publisher() { return publisher_; }

 private:
  LogSession(CommandContext& context, BundleHistory history);

  BundleLog log_;
  BundleHistory history_;
  Publisher publisher_;
};

/// \return the bundle JSON inside an accepted envelope.
std::string bundleJsonOf(const bundle::AcceptedBundle& accepted);

}  // namespace gorsetrail::cli
