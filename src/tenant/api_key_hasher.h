/// \file Keyed digests of API keys.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "tenant/tenant.h"

namespace gorsetrail::tenant {

/// HMAC-SHA256 under a secret that lives as long as the process. A digest says nothing about its
/// key to whoever reads a core dump or measures how long a comparison takes.
class ApiKeyHasher {
 public:
  static constexpr std::size_t kSecretBytes = 32;
  using Secret = std::array<std::uint8_t, kSecretBytes>;

  explicit ApiKeyHasher(const Secret& secret) : secret_(secret) {}
  /// \return a hasher with a secret drawn from the operating system; ends the process with an error
  /// line when there is no randomness, since predictable digests would protect nothing.
  static ApiKeyHasher withRandomSecret();

  [[nodiscard]] ApiKeyDigest digestOf(std::string_view apiKey) const;

 private:
  Secret secret_;
};

}  // namespace gorsetrail::tenant
