/// \file Time as the stand-ins use it: injected, so that tests run on virtual time.
#pragma once

#include <functional>
#include <memory>

#include "base/time.h"

namespace boost::asio {
class io_context;
}

namespace gorsetrail::standin {

/// Tells the time and calls back later. Callbacks run on the thread of the stand-ins.
class Scheduler {
 public:
  virtual ~Scheduler() = default;
  [[nodiscard]] virtual Instant now() const = 0;
  /// Calls `action` once after `delay`.
  virtual void after(Duration delay, std::function<void()> action) = 0;
};

/// \param context outlives the scheduler.
std::unique_ptr<Scheduler> makeAsioScheduler(boost::asio::io_context& context);

}  // namespace gorsetrail::standin
