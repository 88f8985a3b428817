#include "routing/request_key.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace gorsetrail::routing {

std::string textOf(const RequestKey& key) {
  constexpr std::size_t kDigits = 32;
  std::array<char, kDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64, key.high, key.low);
  return text.data();
}

}  // namespace gorsetrail::routing
