/// \file Addresses as Asio endpoints; for the I/O code of this folder and its tests.
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

/// Ends a connection whose bytes the peer does not acknowledge for some seconds: a machine that
/// is cut off or without power says nothing.
void limitUnacknowledgedTime(Socket& socket);

/// \return the endpoint of `ipv4:port` or `[ipv6]:port`; nothing when it is not one.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);

}  // namespace gorsetrail::http
