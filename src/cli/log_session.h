/// \file Log, history and publisher of one command, made from its flags.
#pragma once

#include <memory>

#include "cli/command.h"
#include "cli/publisher.h"

namespace gorsetrail::cli {

/// The bundle stream as one command sees it. Not movable: its parts refer to each other.
class LogSession {
 public:
  /// Reads --log and --settings, then the whole stream.
  /// \return the session, or what keeps it from being one.
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

/// \return the bundle's bytes of an accepted envelope.
std::string bundleTextOf(const bundle::AcceptedBundle& accepted);

}  // namespace gorsetrail::cli
