#include "http/server_message.h"

#include <array>
#include <boost/asio/error.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/serializer.hpp>
#include <charconv>
#include <utility>

namespace gorsetrail::http {
namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

std::string serializeHead(beast::http::response<beast::http::empty_body>& head) {
  beast::http::response_serializer<beast::http::empty_body> serializer(head);
  serializer.split(true);
  std::string text;
  error_code error;
  while (!error && !serializer.is_header_done()) {
    serializer.next(error, [&](error_code&, const auto& buffers) {
      std::size_t bytes = 0;
      for (const auto buffer : beast::buffers_range_ref(buffers)) {
        text.append(static_cast<const char*>(buffer.data()), buffer.size());
        bytes += buffer.size();
      }
      serializer.consume(bytes);
    });
  }
  return text;
}

void appendChunk(std::string& out, std::string_view bytes) {
  std::array<char, 16> digits{};
  constexpr int kHexadecimal = 16;
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), bytes.size(), kHexadecimal).ptr;
  out.append(digits.data(), end);
  out.append("\r\n");
  out.append(bytes);
  out.append("\r\n");
}

ServerRequest toServerRequest(beast::http::request<beast::http::string_body> message) {
  ServerRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  request.body = std::move(message.body());
  return request;
}

ProtocolFault protocolFaultOf(const error_code& error) {
  if (error == beast::http::error::header_limit || error == beast::http::error::buffer_overflow) {
    return ProtocolFault::HeadTooLarge;
  }
  if (error == beast::http::error::body_limit) {
    return ProtocolFault::BodyTooLarge;
  }
  return ProtocolFault::Malformed;
}

bool isDisconnect(const error_code& error) {
  return error == beast::http::error::end_of_stream ||
         error == beast::http::error::partial_message ||
         error.category() == asio::error::get_system_category() ||
         error.category() == asio::error::get_misc_category();
}

}  // namespace gorsetrail::http
