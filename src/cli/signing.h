/// \file Signs bundles with a key file.
#pragma once

#include <string>

#include "base/result.h"
#include "bundle/bundle_holder.h"

namespace gorsetrail::cli {

/// Adds the operator's signature and replaces an earlier one under the same name.
/// \return `InvalidField` when the key is unusable, or is not the one that the bundle itself lists
/// under this name (the signature would not be valid).
Result<Success> addSignature(bundle::SignedBundle& bundle, const std::string& operatorName,
                             const std::string& privateKeyPem);

}  // namespace gorsetrail::cli
