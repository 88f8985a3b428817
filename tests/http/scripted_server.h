/// \file Loopback test server that sends raw bytes.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace gorsetrail::http {

/// Runs handlers until `finished` returns true, at most `kMaximumSteps` of them.
/// \return the last result of `finished`.
inline bool runUntil(boost::asio::io_context& context, const std::function<bool()>& finished) {
  constexpr int kMaximumSteps = 20000;
  constexpr std::chrono::seconds kLongestStep{5};
  for (int step = 0; step < kMaximumSteps && !finished(); ++step) {
    context.restart();
    if (context.run_one_for(kLongestStep) == 0) {
      break;
    }
  }
  return finished();
}

/// One accepted connection; received bytes are appended to `received`.
struct ScriptedConnection {
  explicit ScriptedConnection(boost::asio::ip::tcp::socket accepted)
      : socket(std::move(accepted)) {}
  void send(const std::string& bytes) { boost::asio::write(socket, boost::asio::buffer(bytes)); }
  void close() { socket.close(); }

  boost::asio::ip::tcp::socket socket;
  std::string received;
  std::array<char, 4096> buffer{};
  bool closedByPeer = false;
};

class ScriptedServer {
 public:
  using OnBytes = std::function<void(ScriptedConnection&)>;

  ScriptedServer(boost::asio::io_context& context, OnBytes onBytes)
      : acceptor_(context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        onBytes_(std::move(onBytes)) {
    accept();
  }

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  std::vector<std::shared_ptr<ScriptedConnection>> connections;

 private:
  void accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
          if (error) {
            return;
          }
          connections.push_back(std::make_shared<ScriptedConnection>(std::move(socket)));
          read(connections.back());
          accept();
        });
  }

  void read(const std::shared_ptr<ScriptedConnection>& connection) {
    connection->socket.async_read_some(
        boost::asio::buffer(connection->buffer),
        [this, connection](const boost::system::error_code& error, std::size_t bytes) {
          if (error) {
            connection->closedByPeer = true;
            return;
          }
          connection->received.append(connection->buffer.data(), bytes);
          onBytes_(*connection);
          if (connection->socket.is_open()) {
            read(connection);
          }
        });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  OnBytes onBytes_;
};

}  // namespace gorsetrail::http
