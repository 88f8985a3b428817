/// \file Detects changes of a file by polling.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/time.h"
#include "services/timer_service.h"

namespace gorsetrail::edge {

/// Polls a small file and reports its new content when it differs from the last content seen.
class FileWatcher : public std::enable_shared_from_this<FileWatcher> {
 public:
  /// \param timers outlives this object.
  /// \param onChanged receives the new content.
  FileWatcher(services::TimerService& timers, std::string path, Duration period,
              std::function<void(const std::string&)> onChanged);

  /// Starts polling, with a first check immediately, so that a change since `lastContent` was read
  /// is reported.
  void start(std::string lastContent);
  /// Checks the file now. An unreadable or empty file is assumed to be in the middle of a write and
  /// is checked again at the next poll.
  void check();

 private:
  void schedule();

  services::TimerService& timers_;
  std::string path_;
  Duration period_;
  std::function<void(const std::string&)> onChanged_;
  std::string lastContent_;
};

}  // namespace gorsetrail::edge
