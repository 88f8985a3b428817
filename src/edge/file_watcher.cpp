#include "edge/file_watcher.h"

#include <fstream>
#include <sstream>
#include <utility>

namespace gorsetrail::edge {
namespace {

std::string contentOf(const std::string& path) {
  const std::ifstream file(path);
  std::stringstream text;
  if (file) {
    text << file.rdbuf();
  }
  return text.str();
}

}  // namespace

FileWatcher::FileWatcher(services::TimerService& timers, std::string path, Duration period,
                         std::function<void(const std::string&)> onChanged)
    : timers_(timers), path_(std::move(path)), period_(period), onChanged_(std::move(onChanged)) {}

void FileWatcher::start(std::string lastContent) {
  lastContent_ = std::move(lastContent);
  check();
  schedule();
}

void FileWatcher::check() {
  std::string content = contentOf(path_);
  if (!content.empty() && content != lastContent_) {
    lastContent_ = std::move(content);
    onChanged_(lastContent_);
  }
}

void FileWatcher::schedule() {
  timers_.runAfter(period_, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->check();
      self->schedule();
    }
  });
}

}  // namespace gorsetrail::edge
