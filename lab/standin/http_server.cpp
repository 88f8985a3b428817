#include "lab/standin/http_server.h"

#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <sstream>

namespace gorsetrail::standin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/// How often a connection that waits for its answer looks whether the peer has gone.
constexpr std::chrono::seconds kPeerCheckInterval{1};

constexpr std::chrono::milliseconds kAcceptPause{50};

using Parser = http::request_parser<http::string_body>;

HttpRequest toRequest(Parser::value_type message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  const std::string target(message.target());
  const std::size_t question = target.find('?');
  request.path = target.substr(0, question);
  request.query = question == std::string::npos ? "" : target.substr(question + 1);
  for (const auto& field : message) {
    request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  request.body = std::move(message.body());
  return request;
}

template <class Message>
void setHeaders(Message& message, const std::vector<HttpHeader>& headers) {
  for (const HttpHeader& header : headers) {
    message.insert(header.name, header.value);
  }
}

std::string toText(HttpResponse response, bool keepAlive) {
  http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
  message.set(http::field::content_type, response.contentType);
  setHeaders(message, response.headers);
  message.keep_alive(keepAlive);
  message.body() = std::move(response.body);
  message.prepare_payload();
  std::ostringstream text;
  text << message;
  return text.str();
}

std::string streamHead(const std::vector<HttpHeader>& headers, bool keepAlive) {
  http::response<http::empty_body> message(http::status::ok, 11);
  message.set(http::field::content_type, "text/event-stream");
  message.set(http::field::cache_control, "no-store");
  setHeaders(message, headers);
  message.keep_alive(keepAlive);
  message.chunked(true);
  std::ostringstream text;
  text << message.base();
  return text.str();
}

/// One connection: reads a request, waits until its exchange has ended, reads the next.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Tcp::socket socket, std::shared_ptr<const HttpHandler> handler)
      : socket_(std::move(socket)), wake_(socket_.get_executor()), handler_(std::move(handler)) {
    beast::error_code ignored;
    socket_.set_option(Tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
  }

  asio::awaitable<void> serve();

  /// \name Called by the exchange under way
  /// @{
  void send(std::string_view text);
  void finish();
  void drop();
  [[nodiscard]] bool broken() const { return broken_; }
  [[nodiscard]] bool keepAlive() const { return keepAlive_; }
  /// @}

 private:
  asio::awaitable<bool> readRequest();
  asio::awaitable<bool> answerRequest();
  asio::awaitable<void> writeOutput();
  void refuseUnreadable(const beast::error_code& error);
  [[nodiscard]] bool peerHasGone();

  Tcp::socket socket_;
  asio::steady_timer wake_;
  std::shared_ptr<const HttpHandler> handler_;
  beast::flat_buffer buffer_;
  std::string output_;
  bool writing_ = false;
  bool finished_ = false;
  bool broken_ = false;
  bool keepAlive_ = true;
};

class ConnectionExchange final : public HttpExchange {
 public:
  explicit ConnectionExchange(std::shared_ptr<Connection> connection)
      : connection_(std::move(connection)) {}
  ConnectionExchange(const ConnectionExchange&) = delete;
  ConnectionExchange& operator=(const ConnectionExchange&) = delete;
  ~ConnectionExchange() override { end(&Connection::drop); }

  void respond(HttpResponse response) override {
    if (!ended_) {
      connection_->send(toText(std::move(response), connection_->keepAlive()));
      end(&Connection::finish);
    }
  }

  void startStream(std::vector<HttpHeader> headers) override {
    if (!ended_) {
      connection_->send(streamHead(headers, connection_->keepAlive()));
    }
  }

  void writeStream(std::string_view text) override {
    if (ended_ || text.empty()) {
      return;
    }
    connection_->send(beast::buffers_to_string(http::make_chunk(asio::buffer(text))));
  }

  void endStream() override {
    if (!ended_) {
      connection_->send("0\r\n\r\n");
      end(&Connection::finish);
    }
  }

  void drop() override { end(&Connection::drop); }

  [[nodiscard]] bool closed() const override { return ended_ || connection_->broken(); }

 private:
  /// The connection is let go at the end: a stale exchange must not reach the next request.
  void end(void (Connection::*how)()) {
    if (ended_) {
      return;
    }
    ended_ = true;
    (connection_.get()->*how)();
    connection_.reset();
  }

  std::shared_ptr<Connection> connection_;
  bool ended_ = false;
};

/// Writes at once when nothing waits before it: a token then costs one system call.
void Connection::send(std::string_view text) {
  if (broken_) {
    return;
  }
  if (!writing_ && output_.empty()) {
    beast::error_code error;
    const std::size_t written = socket_.write_some(asio::buffer(text), error);
    if (error && error != asio::error::would_block) {
      drop();
      return;
    }
    text.remove_prefix(error ? 0 : written);
  }
  if (!text.empty()) {
    output_ += text;
    wake_.cancel();
  }
}

void Connection::finish() {
  finished_ = true;
  wake_.cancel();
}

void Connection::drop() {
  broken_ = true;
  wake_.cancel();
}

bool Connection::peerHasGone() {
  char byte = 0;
  return ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

asio::awaitable<void> Connection::writeOutput() {
  const std::string text = std::exchange(output_, {});
  writing_ = true;
  const auto [error, written] = co_await asio::async_write(socket_, asio::buffer(text), kAwait);
  writing_ = false;
  broken_ = broken_ || error || written != text.size();
}

/// \return whether the connection can take another request.
asio::awaitable<bool> Connection::answerRequest() {
  while (!broken_) {
    if (!output_.empty()) {
      co_await writeOutput();
      continue;
    }
    if (finished_) {
      co_return keepAlive_;
    }
    wake_.expires_after(kPeerCheckInterval);
    const auto [cancelled] = co_await wake_.async_wait(kAwait);
    broken_ = broken_ || (!cancelled && peerHasGone());
  }
  co_return false;
}

void Connection::refuseUnreadable(const beast::error_code& error) {
  const bool tooLarge = error == http::error::body_limit || error == http::error::header_limit;
  const bool malformed =
      error.category() == http::make_error_code(http::error::bad_method).category();
  if (tooLarge) {
    send(toText(errorResponse(413, "request too large", "send a smaller request"), false));
  } else if (malformed && error != http::error::end_of_stream &&
             error != http::error::partial_message) {
    send(toText(errorResponse(400, "malformed HTTP request", "send HTTP/1.1"), false));
  }
}

/// \return whether a whole request came and was handed on.
asio::awaitable<bool> Connection::readRequest() {
  Parser parser;
  parser.body_limit(kMaximumRequestBytes);
  parser.header_limit(kMaximumHeaderBytes);
  const auto [error, bytes] = co_await http::async_read(socket_, buffer_, parser, kAwait);
  if (error) {
    refuseUnreadable(error);
    co_return false;
  }
  keepAlive_ = parser.get().keep_alive();
  finished_ = false;
  (*handler_)(toRequest(parser.release()),
              std::make_shared<ConnectionExchange>(shared_from_this()));
  co_return true;
}

asio::awaitable<void> Connection::serve() {
  const auto self = shared_from_this();
  while (co_await readRequest()) {
    if (!co_await answerRequest()) {
      break;
    }
  }
  broken_ = true;
  beast::error_code ignored;
  socket_.shutdown(Tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
}

class Listener final : public HttpListener {
 public:
  Listener(Tcp::acceptor acceptor, HttpHandler handler)
      : acceptor_(std::make_shared<Tcp::acceptor>(std::move(acceptor))),
        handler_(std::make_shared<const HttpHandler>(std::move(handler))) {
    asio::co_spawn(acceptor_->get_executor(), acceptLoop(acceptor_, handler_), asio::detached);
  }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  ~Listener() override {
    beast::error_code ignored;
    acceptor_->close(ignored);
  }

  [[nodiscard]] std::uint16_t port() const override { return acceptor_->local_endpoint().port(); }

 private:
  static asio::awaitable<void> acceptLoop(std::shared_ptr<Tcp::acceptor> acceptor,
                                          std::shared_ptr<const HttpHandler> handler) {
    while (acceptor->is_open()) {
      auto [error, socket] = co_await acceptor->async_accept(kAwait);
      if (error) {
        // Out of descriptors: pause, so that the loop does not eat the processor.
        asio::steady_timer pause(acceptor->get_executor(), kAcceptPause);
        co_await pause.async_wait(kAwait);
      } else {
        auto connection = std::make_shared<Connection>(std::move(socket), handler);
        asio::co_spawn(
            acceptor->get_executor(), [connection] { return connection->serve(); }, asio::detached);
      }
    }
  }

  std::shared_ptr<Tcp::acceptor> acceptor_;
  std::shared_ptr<const HttpHandler> handler_;
};

Error addressError(const std::string& address, const std::string& reason) {
  return Error{ErrorKind::InvalidSettings, address, reason, "name a free loopback ip:port"};
}

}  // namespace

Result<std::unique_ptr<HttpListener>> listenHttp(asio::io_context& context,
                                                 const std::string& address, HttpHandler handler) {
  const std::size_t colon = address.rfind(':');
  std::uint16_t port = 0;
  const char* last = address.data() + address.size();
  if (colon == std::string::npos ||
      std::from_chars(address.data() + colon + 1, last, port).ptr != last) {
    return addressError(address, "not an ip:port");
  }
  beast::error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  Tcp::acceptor acceptor(context);
  if (!error) acceptor.open(Tcp::endpoint(ip, port).protocol(), error);
  if (!error) acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(Tcp::endpoint(ip, port), error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return addressError(address, error.message());
  }
  return std::unique_ptr<HttpListener>(
      std::make_unique<Listener>(std::move(acceptor), std::move(handler)));
}

}  // namespace gorsetrail::standin
