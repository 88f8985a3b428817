/// \file Sizes that a bundle may have.
#pragma once

#include <cstddef>

namespace gorsetrail::bundle {

/// A record of the log holds 1 MiB; an envelope must fit one.
inline constexpr std::size_t kMaximumEnvelopeBytes = std::size_t{1024} * 1024;
/// Base64 makes 4 bytes of 3; 64 signatures of at most 300 bytes stand beside it.
inline constexpr std::size_t kMaximumBundleBytes = std::size_t{750} * 1024;
/// As many as a bundle may have operators.
inline constexpr std::size_t kMaximumSignatures = 64;

}  // namespace gorsetrail::bundle
