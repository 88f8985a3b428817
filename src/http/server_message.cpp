#include "http/server_message.h"

#include <array>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/serializer.hpp>
#include <charconv>

namespace gorsetrail::http {
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

}  // namespace gorsetrail::http
