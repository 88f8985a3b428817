/// \file Test client that sends raw bytes.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>

namespace gorsetrail::http {

/// Connects in the constructor and collects received bytes in `received`.
class RawClient {
 public:
  RawClient(boost::asio::io_context& context, std::uint16_t port) : socket_(context) {
    socket_.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    // So that each piece arrives as soon as it is sent.
    socket_.set_option(boost::asio::ip::tcp::no_delay(true));
  }

  void send(const std::string& bytes) { boost::asio::write(socket_, boost::asio::buffer(bytes)); }
  void startReading() {
    socket_.async_read_some(boost::asio::buffer(buffer_),
                            [this](const boost::system::error_code& error, std::size_t bytes) {
                              if (error) {
                                closedByServer = error != boost::asio::error::operation_aborted;
                                return;
                              }
                              received.append(buffer_.data(), bytes);
                              startReading();
                            });
  }
  void close() { socket_.close(); }
  /// Closes the sending side only.
  void finishSending() {
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  }
  [[nodiscard]] bool has(const std::string& text) const {
    return received.find(text) != std::string::npos;
  }

  std::string received;
  bool closedByServer = false;

 private:
  boost::asio::ip::tcp::socket socket_;
  std::array<char, 4096> buffer_{};
};

}  // namespace gorsetrail::http
