#include "routing/request_key.h"

#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>

namespace gorsetrail::routing {

namespace {

constexpr std::size_t kDigits = 32;

bool parseHex(std::string_view text, std::uint64_t& number) {
  constexpr int kBase = 16;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number, kBase);
  return parsed.ec == std::errc{} && parsed.ptr == end;
}

}  // namespace

std::string textOf(const RequestKey& key) {
  std::array<char, kDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64, key.high, key.low);
  return text.data();
}

std::optional<RequestKey> requestKeyFrom(std::string_view text) {
  RequestKey key;
  const bool isKey = text.size() == kDigits && parseHex(text.substr(0, kDigits / 2), key.high) &&
                     parseHex(text.substr(kDigits / 2), key.low);
  return isKey ? std::optional(key) : std::nullopt;
}

}  // namespace gorsetrail::routing
