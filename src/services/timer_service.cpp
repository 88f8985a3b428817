#include "services/timer_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <utility>

namespace gorsetrail::services {
namespace {

/// A timer of its own, which is cancelled when it is destroyed.
class AsioTimer final : public Timer {
 public:
  AsioTimer(boost::asio::io_context& context, Duration delay, std::function<void()> work)
      : timer_(context, delay) {
    timer_.async_wait([alive = std::weak_ptr(alive_),
                       work = std::move(work)](const boost::system::error_code& error) {
      // A handler that was due already runs after the timer was destroyed.
      if (!error && !alive.expired()) {
        work();
      }
    });
  }

 private:
  boost::asio::steady_timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

class AsioTimerService : public TimerService {
 public:
  explicit AsioTimerService(boost::asio::io_context& context) : context_(context) {}

  /// A timer whose handler was already due is destroyed here too; its handler then finds the list
  /// gone by the weak pointer.
  ~AsioTimerService() override = default;
  AsioTimerService(const AsioTimerService&) = delete;
  AsioTimerService& operator=(const AsioTimerService&) = delete;

  void runAfter(Duration delay, std::function<void()> work) override {
    const auto timer = timers_->emplace(timers_->end(), context_, delay);
    timer->async_wait([weak = std::weak_ptr(timers_), timer,
                       work = std::move(work)](const boost::system::error_code& error) {
      const auto timers = weak.lock();
      if (error || timers == nullptr) {
        return;
      }
      timers->erase(timer);
      work();
    });
  }

  TimerPtr startTimer(Duration delay, std::function<void()> work) override {
    return std::make_unique<AsioTimer>(context_, delay, std::move(work));
  }

 private:
  using Timers = std::list<boost::asio::steady_timer>;

  boost::asio::io_context& context_;
  std::shared_ptr<Timers> timers_ = std::make_shared<Timers>();
};

}  // namespace

TimerServicePtr makeTimerService(boost::asio::io_context& context) {
  return std::make_unique<AsioTimerService>(context);
}

}  // namespace gorsetrail::services
