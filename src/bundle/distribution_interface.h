/// \file Messages by which nodes learn bundles from each other.
#pragma once

#include <string>
#include <variant>

#include "base/ids.h"

namespace gorsetrail::bundle {

/// Asks a peer for the bundle it has in force.
struct BundleFetchRequest {
  BundleVersion have;
};

/// The signed envelope, byte for byte as published; empty when the peer has none newer.
struct BundleFetchReply {
  BundleVersion version;
  std::string envelope;
};

using DistributionMessage = std::variant<BundleFetchRequest, BundleFetchReply>;

}  // namespace gorsetrail::bundle
