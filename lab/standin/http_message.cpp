#include "lab/standin/http_message.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace gorsetrail::standin {
namespace {

char lowerCase(char character) {
  const bool upper = character >= 'A' && character <= 'Z';
  return upper ? static_cast<char>(character - 'A' + 'a') : character;
}

bool equalsWithoutCase(std::string_view first, std::string_view second) {
  return std::equal(first.begin(), first.end(), second.begin(), second.end(),
                    [](char a, char b) { return lowerCase(a) == lowerCase(b); });
}

}  // namespace

std::string_view HttpRequest::header(std::string_view name) const {
  for (const HttpHeader& header : headers) {
    if (equalsWithoutCase(header.name, name)) {
      return header.value;
    }
  }
  return {};
}

std::uint64_t HttpRequest::queryNumber(std::string_view name, std::uint64_t otherwise) const {
  std::string_view rest = query;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos || pair.substr(0, equals) != name) {
      continue;
    }
    const std::string_view text = pair.substr(equals + 1);
    std::uint64_t number = 0;
    const auto [last, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && last == text.data() + text.size() ? number : otherwise;
  }
  return otherwise;
}

bool HttpRequest::is(std::string_view wantedMethod, std::string_view wantedPath) const {
  return method == wantedMethod && path == wantedPath;
}

std::string_view HttpRequest::restOf(std::string_view wantedMethod, std::string_view prefix) const {
  const std::string_view view = path;
  if (method != wantedMethod || !view.starts_with(prefix)) {
    return {};
  }
  return view.substr(prefix.size());
}

HttpResponse jsonResponse(unsigned status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

HttpResponse errorResponse(unsigned status, std::string_view reason, std::string_view remedy) {
  const nlohmann::json body = {{"error", {{"reason", reason}, {"remedy", remedy}}}};
  return jsonResponse(status, body.dump());
}

}  // namespace gorsetrail::standin
