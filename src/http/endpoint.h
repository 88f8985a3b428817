/// \file Address parsing to Asio endpoints, and socket options.
#pragma once

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace gorsetrail::http {

/// A TCP socket bound to one I/O context, without a type-erased executor.
using Socket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;

/// Sets `TCP_USER_TIMEOUT`, so that a connection fails when sent bytes stay unacknowledged because
/// the peer's machine lost its network or power.
void setTcpUserTimeout(Socket& socket);

/// \return the endpoint of `ipv4:port` or `[ipv6]:port`, or nothing when the address is invalid.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);

}  // namespace gorsetrail::http
