#include "services/timer_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <utility>

namespace gorsetrail::services {
namespace {

using Timer = boost::asio::steady_timer;

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

 private:
  boost::asio::io_context& context_;
  std::shared_ptr<std::list<Timer>> timers_ = std::make_shared<std::list<Timer>>();
};

}  // namespace

TimerServicePtr makeTimerService(boost::asio::io_context& context) {
  return std::make_unique<AsioTimerService>(context);
}

}  // namespace gorsetrail::services
