#include "http/endpoint.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>

#include "http/address.h"

namespace gorsetrail::http {
namespace {

std::optional<std::uint16_t> parsePort(std::string_view text) {
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [parsedEnd, error] = std::from_chars(text.data(), end, port);
  if (error != std::errc{} || parsedEnd != end || port == 0) {
    return std::nullopt;
  }
  return port;
}

std::string_view withoutBrackets(std::string_view host) {
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
    return host.substr(1, host.size() - 2);
  }
  return host;
}

constexpr unsigned kTcpUserTimeoutMs = 3000;

}  // namespace

void setTcpUserTimeout(Socket& socket) {
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs,
               sizeof(kTcpUserTimeoutMs));
}

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::optional<std::uint16_t> port = parsePort(address.substr(colon + 1));
  if (!port) {
    return std::nullopt;
  }
  const std::string_view written = address.substr(0, colon);
  const std::string_view host = withoutBrackets(written);
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(std::string(host), error);
  const bool bracketed = host.size() != written.size();
  if (error || ip.is_v6() != bracketed) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(ip, *port);
}

bool isUsableAddress(std::string_view address) { return parseEndpoint(address).has_value(); }

}  // namespace gorsetrail::http
