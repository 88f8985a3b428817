/// \file Names a bundle by its content.
#pragma once

#include <string>
#include <string_view>

namespace gorsetrail::bundle {

/// \return SHA-256 of the bundle's exact bytes, 64 lower-case hexadecimal digits; what
/// `base_digest` of the next version names.
std::string bundleDigest(std::string_view bundleJson);

}  // namespace gorsetrail::bundle
