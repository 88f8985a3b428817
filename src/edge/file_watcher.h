/// \file Tells when a file's content has changed; nobody has to send a signal.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/time.h"
#include "services/timer_service.h"

namespace gorsetrail::edge {

/// Compares the file's content with the last one seen, some times a minute: settings are small.
class FileWatcher : public std::enable_shared_from_this<FileWatcher> {
 public:
  /// \param timers outlives this object.
  /// \param onChanged gets the new content.
  FileWatcher(services::TimerService& timers, std::string path, Duration period,
              std::function<void(const std::string&)> onChanged);

  /// Looks at once, so that a change made since `seen` was read is told, and begins to watch.
  void start(std::string seen);
  /// Looks now. An unreadable or empty file is being written: it is looked at again later.
  void check();

 private:
  void schedule();

  services::TimerService& timers_;
  std::string path_;
  Duration period_;
  std::function<void(const std::string&)> onChanged_;
  std::string seen_;
};

}  // namespace gorsetrail::edge
