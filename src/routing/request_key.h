/// \file Keys of what nodes share about single requests. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gorsetrail::routing {

/// 128-bit digest that identifies a request or a stream in the records that nodes share.
struct RequestKey {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  [[nodiscard]] bool operator==(const RequestKey& other) const = default;
};

struct RequestKeyHash {
  std::size_t operator()(const RequestKey& key) const noexcept { return key.low; }
};

/// \return 32 hexadecimal digits, for log lines.
[[nodiscard]] std::string textOf(const RequestKey& key);
/// \return the key whose text it is; empty if it is none.
[[nodiscard]] std::optional<RequestKey> requestKeyFrom(std::string_view text);

}  // namespace gorsetrail::routing
