#include "http/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <unordered_map>
#include <utility>

#include "base/steady_clock.h"
#include "http/client_operation.h"

namespace gorsetrail::http {
namespace {

using boost::system::error_code;

/// Implements `HttpClient::checkReachable` for one address.
class ReachabilityCheck : public std::enable_shared_from_this<ReachabilityCheck> {
 public:
  ReachabilityCheck(boost::asio::io_context& context, std::weak_ptr<ConnectionPool> pool,
                    std::string address, std::function<void(bool)> callback)
      : socket_(context),
        timer_(context),
        pool_(std::move(pool)),
        address_(std::move(address)),
        callback_(std::move(callback)) {}

  void start(Duration limit) {
    const auto endpoint = parseEndpoint(address_);
    if (!endpoint) {
      boost::asio::post(socket_.get_executor(), [self = shared_from_this()] { self->end(false); });
      return;
    }
    timer_.expires_after(limit);
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error) {
        self->end(false);
      }
    });
    socket_.async_connect(*endpoint, [self = shared_from_this()](const error_code& error) {
      self->onConnected(error);
    });
  }

 private:
  void onConnected(const error_code& error) {
    if (!callback_) {
      return;
    }
    const auto pool = pool_.lock();
    // While replicas are silent, each request checks them again and again.
    if (!error && pool && !pool->hasIdle(address_)) {
      error_code ignored;
      socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
      setTcpUserTimeout(socket_);
      pool->release(address_, {std::move(socket_), steadyNow()});
    }
    const bool refused = error == boost::asio::error::connection_refused ||
                         error == boost::asio::error::connection_reset;
    end(!error || refused);
  }

  void end(bool reachable) {
    const auto callback = std::exchange(callback_, {});
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    if (callback) {
      callback(reachable);
    }
  }

  Socket socket_;
  boost::asio::steady_timer timer_;
  std::weak_ptr<ConnectionPool> pool_;
  std::string address_;
  std::function<void(bool)> callback_;
};

using OperationTable = std::unordered_map<ClientOperation*, std::weak_ptr<ClientOperation>>;

class PooledHttpClient final : public HttpClient {
 public:
  explicit PooledHttpClient(boost::asio::io_context& context) : context_(context) {}
  PooledHttpClient(const PooledHttpClient&) = delete;
  PooledHttpClient& operator=(const PooledHttpClient&) = delete;

  /// Cancels active requests, because their callbacks may refer to objects that are destroyed
  /// together with the client.
  ~PooledHttpClient() override {
    const OperationTable operations = std::move(*activeOperations_);
    activeOperations_->clear();
    for (const auto& [key, operation] : operations) {
      if (const auto locked = operation.lock()) {
        locked->cancel();
      }
    }
  }

  RequestHandlePtr send(Request request, ResponseHandler handler) override {
    const std::weak_ptr<OperationTable> table = activeOperations_;
    auto operation = std::make_shared<ClientOperation>(
        context_, pool_, std::move(request), std::move(handler), [table](ClientOperation* ended) {
          if (const auto locked = table.lock()) {
            locked->erase(ended);
          }
        });
    activeOperations_->emplace(operation.get(), operation);
    operation->start();
    return operation;
  }

  [[nodiscard]] bool hasIdleConnection(const std::string& address) const override {
    return pool_->hasIdle(address);
  }

  void closeIdleConnections(const std::string& address) override { pool_->closeIdle(address); }

  void checkReachable(const std::string& address, Duration limit,
                      std::function<void(bool)> callback) override {
    std::make_shared<ReachabilityCheck>(context_, pool_, address, std::move(callback))
        ->start(limit);
  }

 private:
  boost::asio::io_context& context_;
  std::shared_ptr<ConnectionPool> pool_ = std::make_shared<ConnectionPool>();
  std::shared_ptr<OperationTable> activeOperations_ = std::make_shared<OperationTable>();
};

}  // namespace

HttpClientPtr makeHttpClient(boost::asio::io_context& context) {
  return std::make_unique<PooledHttpClient>(context);
}

std::pair<Response, std::string> sendAndWait(const Request& request) {
  boost::asio::io_context context;
  const HttpClientPtr client = makeHttpClient(context);
  std::pair<Response, std::string> result;
  ResponseHandler handler;
  handler.onDone = [&result](Response response) { result.first = std::move(response); };
  handler.onFailure = [&result](const Failure& failure) { result.second = failure.reason; };
  client->send(request, std::move(handler));
  context.run();
  return result;
}

}  // namespace gorsetrail::http
