#include "node/front/request_target.h"

#include <charconv>

namespace gorsetrail::node {
namespace {

constexpr int kHexadecimal = 16;

std::optional<std::string> decode(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t position = 0; position < text.size(); ++position) {
    if (text[position] != '%') {
      decoded.push_back(text[position]);
      continue;
    }
    const std::string_view digits = text.substr(position + 1, 2);
    unsigned char byte = 0;
    const char* const end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, byte, kHexadecimal);
    if (digits.size() != 2 || parsed.ec != std::errc{} || parsed.ptr != end) {
      return std::nullopt;
    }
    decoded.push_back(static_cast<char>(byte));
    position += 2;
  }
  return decoded;
}

bool parseQuery(std::string_view text, std::vector<QueryParameter>& query) {
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find('&'));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    const auto name = decode(pair.substr(0, equals));
    const auto value =
        decode(equals == std::string_view::npos ? std::string_view{} : pair.substr(equals + 1));
    if (!name || !value) {
      return false;
    }
    query.push_back({*name, *value});
  }
  return true;
}

}  // namespace

std::optional<std::string> RequestTarget::parameter(std::string_view name) const {
  for (const QueryParameter& candidate : query) {
    if (candidate.name == name) {
      return candidate.value;
    }
  }
  return std::nullopt;
}

std::optional<RequestTarget> parseTarget(std::string_view target) {
  const std::size_t mark = target.find('?');
  const auto path = decode(target.substr(0, mark));
  if (!path) {
    return std::nullopt;
  }
  RequestTarget parsed{*path, {}};
  if (mark != std::string_view::npos && !parseQuery(target.substr(mark + 1), parsed.query)) {
    return std::nullopt;
  }
  return parsed;
}

}  // namespace gorsetrail::node
