#include "lab/load/http_exchange.h"

#include "base/steady_clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <utility>

namespace gorsetrail::load {
namespace {

namespace asio = boost::asio;

/// Resumes the waiting coroutine from the event loop and not from inside the client, so that the
/// client may be used again at once.
template <class Handler>
void complete(const std::shared_ptr<Handler>& handler, HttpOutcome outcome) {
  asio::post(asio::get_associated_executor(*handler),
             [handler, outcome = std::move(outcome)]() mutable {
               std::move (*handler)(std::move(outcome));
             });
}

}  // namespace

asio::awaitable<HttpOutcome> exchange(http::HttpClient& client, http::Request request) {
  const auto start = [&client](auto handler, http::Request message) {
    using Handler = decltype(handler);
    auto shared = std::make_shared<Handler>(std::move(handler));
    http::ResponseHandler callbacks;
    callbacks.onDone = [shared](http::Response response) { complete(shared, std::move(response)); };
    callbacks.onFailure = [shared](http::Failure failure) { complete(shared, std::move(failure)); };
    client.send(std::move(message), std::move(callbacks));
  };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(HttpOutcome)>(
      start, asio::use_awaitable, std::move(request));
}

asio::awaitable<void> pause(Duration time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

Instant currentTime() { return steadyNow(); }

}  // namespace gorsetrail::load
