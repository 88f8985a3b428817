/// \file Which operators signed a bundle.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "bundle/bundle_holder.h"

namespace gorsetrail::bundle {

/// \return names of the operators with a valid signature. A key counts once, however many
/// signatures or names it stands under; signatures of others are passed over.
std::vector<std::string> validSigners(const SignedBundle& bundle,
                                      const std::vector<Operator>& operators);

/// \return the number of different keys among the operators.
std::size_t countKeys(const std::vector<Operator>& operators);

}  // namespace gorsetrail::bundle
