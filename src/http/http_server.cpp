#include "http/http_server.h"

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <unordered_set>
#include <utility>

#include "base/steady_clock.h"
#include "http/endpoint.h"
#include "http/server_connection.h"

namespace gorsetrail::http {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Acceptor = asio::basic_socket_acceptor<asio::ip::tcp, asio::io_context::executor_type>;

class BeastHttpServer final : public HttpServer,
                              public std::enable_shared_from_this<BeastHttpServer> {
 public:
  BeastHttpServer(asio::io_context& context, HttpServerOptions options)
      : context_(context),
        acceptor_(context),
        sweepTimer_(context),
        shared_(std::make_shared<ServerContext>()) {
    shared_->options = std::move(options);
    if (!shared_->options.clock) {
      shared_->options.clock = steadyNow;
    }
    if (!shared_->options.connections) {
      shared_->options.connections =
          std::make_shared<ConnectionLimit>(shared_->options.knobs.maximumConnections);
    }
  }

  Result<Success> listen() {
    const std::string& address = shared_->options.listenAddress;
    const auto endpoint = parseListenEndpoint(address);
    if (!endpoint) {
      return listenError("expected `ip:port`");
    }
    error_code error;
    acceptor_.open(endpoint->protocol(), error);
    if (!error) {
      acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
      acceptor_.bind(*endpoint, error);
    }
    if (const auto bytes = shared_->options.knobs.receiveBufferBytes; !error && bytes > 0) {
      // Set here, since accepted connections inherit it; the kernel's own size is a fallback.
      error_code ignored;
      acceptor_.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(bytes)),
                           ignored);
    }
    if (!error) {
      acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return listenError(error.message());
    }
    shared_->onClosed = [weak = weak_from_this()](const auto& connection) {
      if (const auto self = weak.lock()) {
        self->connections_.erase(connection);
      }
    };
    accept();
    sweep();
    return Success{};
  }

  [[nodiscard]] std::uint16_t listeningPort() const override {
    error_code ignored;
    return acceptor_.local_endpoint(ignored).port();
  }

  [[nodiscard]] HttpServerCounters counters() const override {
    HttpServerCounters counters = shared_->counters;
    counters.connectionsOpen = connections_.size();
    return counters;
  }

  void setLimits(const HttpServerLimits& limits) override { shared_->options.knobs = limits; }

  [[nodiscard]] const HttpServerLimits& limits() const override { return shared_->options.knobs; }

  void beginDrain(IdleConnections idle) override {
    shared_->draining = true;
    if (idle == IdleConnections::Keep) {
      return;
    }
    for (const auto& connection : copyOfConnections()) {
      connection->closeIfIdle();
    }
  }

  void stop() override {
    stopped_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    sweepTimer_.cancel();
    for (const auto& connection : copyOfConnections()) {
      connection->closeWithoutCallbacks();
    }
  }

 private:
  /// As `parseEndpoint`, but port 0 is allowed.
  static std::optional<asio::ip::tcp::endpoint> parseListenEndpoint(const std::string& address) {
    if (!address.ends_with(":0")) {
      return parseEndpoint(address);
    }
    auto endpoint = parseEndpoint(address.substr(0, address.size() - 1) + "1");
    if (endpoint) {
      endpoint->port(0);
    }
    return endpoint;
  }

  Result<Success> listenError(const std::string& reason) const {
    return Error{ErrorKind::InvalidSettings, "listen.callers",
                 "cannot listen on " + shared_->options.listenAddress + ": " + reason,
                 "name an address of this machine and a free port"};
  }

  void accept() {
    acceptor_.async_accept(context_.get_executor(),
                           [weak = weak_from_this()](const error_code& error, Socket socket) {
                             if (const auto self = weak.lock()) {
                               self->onAccepted(error, std::move(socket));
                             }
                           });
  }

  void onAccepted(const error_code& error, Socket socket) {
    if (stopped_) {
      return;
    }
    if (!error) {
      runInBoundary("server", [&] {
        const auto connection = std::make_shared<ServerConnection>(std::move(socket), shared_);
        connections_.insert(connection);
        connection->start();
      });
    } else if (!mayAcceptAfter(error)) {
      acceptPaused_ = true;  // `checkTimeLimits` retries.
      return;
    }
    accept();
  }

  /// \return whether accepting may go on at once after the error.
  bool mayAcceptAfter(const error_code& error) {
    if (error == asio::error::no_descriptors) {
      return shared_->options.connections->closeOne();
    }
    // The client has given the connection up before it was accepted.
    return error == asio::error::connection_aborted;
  }

  void sweep() {
    sweepTimer_.expires_after(shared_->options.knobs.sweepPeriod);
    sweepTimer_.async_wait([weak = weak_from_this()](const error_code& error) {
      const auto self = weak.lock();
      if (!error && self && !self->stopped_) {
        self->checkTimeLimits();
        self->sweep();
      }
    });
  }

  void checkTimeLimits() {
    const Instant now = shared_->now();
    for (const auto& connection : copyOfConnections()) {
      connection->checkTimeLimit(now);
    }
    if (std::exchange(acceptPaused_, false)) {
      accept();
    }
  }

  /// A copy, because a connection that closes removes itself from `connections_`.
  [[nodiscard]] std::vector<std::shared_ptr<ServerConnection>> copyOfConnections() const {
    return {connections_.begin(), connections_.end()};
  }

  asio::io_context& context_;
  Acceptor acceptor_;
  asio::steady_timer sweepTimer_;
  std::shared_ptr<ServerContext> shared_;
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
  bool acceptPaused_ = false;
  bool stopped_ = false;
};

/// Stops the server when destroyed. Needed because the server has shared ownership.
class ServerHandle final : public HttpServer {
 public:
  explicit ServerHandle(std::shared_ptr<BeastHttpServer> server) : server_(std::move(server)) {}
  ServerHandle(const ServerHandle&) = delete;
  ServerHandle& operator=(const ServerHandle&) = delete;
  ~ServerHandle() override { server_->stop(); }
  [[nodiscard]] std::uint16_t listeningPort() const override { return server_->listeningPort(); }
  [[nodiscard]] HttpServerCounters counters() const override { return server_->counters(); }
  void setLimits(const HttpServerLimits& limits) override { server_->setLimits(limits); }
  [[nodiscard]] const HttpServerLimits& limits() const override { return server_->limits(); }
  void beginDrain(IdleConnections idle) override { server_->beginDrain(idle); }
  void stop() override { server_->stop(); }

 private:
  std::shared_ptr<BeastHttpServer> server_;
};

}  // namespace

Result<HttpServerPtr> makeHttpServer(asio::io_context& context, HttpServerOptions options) {
  auto server = std::make_shared<BeastHttpServer>(context, std::move(options));
  if (const auto listening = server->listen(); !succeeded(listening)) {
    return errorOf(listening);
  }
  return HttpServerPtr(std::make_unique<ServerHandle>(std::move(server)));
}

}  // namespace gorsetrail::http
