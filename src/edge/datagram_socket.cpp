#include "edge/datagram_socket.h"

#include <optional>
#include <utility>

#include "http/endpoint.h"
#include "http/error_boundary.h"

namespace gorsetrail::edge {
namespace {

using boost::system::error_code;

std::optional<DatagramSocket::Endpoint> datagramEndpoint(const std::string& address) {
  const auto endpoint = http::parseEndpoint(address);
  return endpoint ? std::optional(DatagramSocket::Endpoint(endpoint->address(), endpoint->port()))
                  : std::nullopt;
}

}  // namespace

DatagramSocket::DatagramSocket(boost::asio::io_context& context, Receiver receiver)
    : socket_(context), receiver_(std::move(receiver)) {}

Result<Success> DatagramSocket::listen(const std::string& address) {
  const auto endpoint = datagramEndpoint(address);
  error_code error;
  if (endpoint) {
    socket_.open(endpoint->protocol(), error);
    if (!error) {
      socket_.bind(*endpoint, error);
    }
    if (!error) {
      socket_.non_blocking(true, error);
    }
  }
  if (!endpoint || error) {
    return Error{ErrorKind::InvalidSettings, "internal port " + address,
                 endpoint ? error.message() : "the address must have the form `ip:port`",
                 "correct the address, or free the port"};
  }
  receive();
  return Success{};
}

void DatagramSocket::receive() {
  socket_.async_receive_from(boost::asio::buffer(buffer_), sender_,
                             [this](const error_code& error, std::size_t bytes) {
                               if (error == boost::asio::error::operation_aborted) {
                                 return;
                               }
                               if (!error) {
                                 deliver(bytes);
                                 receiveQueued();
                               }
                               receive();
                             });
}

// Otherwise requests that arrived later would be handled between two datagrams, for example after
// this process was suspended.
void DatagramSocket::receiveQueued() {
  for (int datagram = 0; datagram < kMaximumQueuedDatagrams; ++datagram) {
    error_code error;
    const std::size_t bytes = socket_.receive_from(boost::asio::buffer(buffer_), sender_, 0, error);
    if (error) {
      return;
    }
    deliver(bytes);
  }
}

void DatagramSocket::deliver(std::size_t bytes) {
  http::runInBoundary("datagram", [this, bytes] { receiver_(sender_, {buffer_.data(), bytes}); });
}

void DatagramSocket::send(const std::string& address, std::string_view bytes) {
  if (const auto endpoint = datagramEndpoint(address)) {
    error_code ignored;  // Ignored: senders must tolerate lost datagrams.
    socket_.send_to(boost::asio::buffer(bytes), *endpoint, 0, ignored);
  }
}

}  // namespace gorsetrail::edge
