#include "record.h"

#include <cstdio>

namespace review {

void Record::line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  char time[32];
  std::snprintf(time, sizeof time, "%8ld ", millisecondsNow());
  out_ << time << text << std::endl;
}

}  // namespace review
