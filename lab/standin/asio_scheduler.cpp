#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "lab/standin/scheduler.h"

#include "base/steady_clock.h"

namespace gorsetrail::standin {
namespace {

class AsioScheduler final : public Scheduler {
 public:
  explicit AsioScheduler(boost::asio::io_context& context) : context_(context) {}

  [[nodiscard]] Instant now() const override { return steadyNow(); }

  void after(Duration delay, std::function<void()> action) override {
    auto timer = std::make_shared<boost::asio::steady_timer>(context_, delay);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code& error) {
      if (!error) {
        action();
      }
    });
  }

 private:
  boost::asio::io_context& context_;
};

}  // namespace

std::unique_ptr<Scheduler> makeAsioScheduler(boost::asio::io_context& context) {
  return std::make_unique<AsioScheduler>(context);
}

}  // namespace gorsetrail::standin
