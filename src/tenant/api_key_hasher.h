/// \file Keyed digests of API keys.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "tenant/tenant.h"

namespace gorsetrail::tenant {

/// HMAC-SHA256 with a secret of this process, so that digests reveal no API key through a core dump
/// or through comparison timing.
class ApiKeyHasher {
 public:
  static constexpr std::size_t kSecretBytes = 32;
  using Secret = std::array<std::uint8_t, kSecretBytes>;

  explicit ApiKeyHasher(const Secret& secret) : secret_(secret) {}
  /// \return a hasher with a random secret. Ends the process with an error message if the operating
  /// system provides no randomness, because predictable digests would not protect the keys.
  static ApiKeyHasher withRandomSecret();

  [[nodiscard]] ApiKeyDigest digestOf(std::string_view apiKey) const;

 private:
  Secret secret_;
};

}  // namespace gorsetrail::tenant
