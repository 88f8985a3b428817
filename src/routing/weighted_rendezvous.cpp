#include "routing/weighted_rendezvous.h"

#include <xxhash.h>

#include <cmath>

namespace gorsetrail::routing {

std::uint64_t rendezvousHash(std::string_view key, std::string_view replicaId) {
  const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
  return XXH64(replicaId.data(), replicaId.size(), seed);
}

// With u uniform in (0, 1), -ln(u) / weight is exponentially distributed with rate `weight`; the
// smallest of several such values is that of a replica with probability proportional to its weight.
double rendezvousScore(std::string_view key, std::string_view replicaId, double weight) {
  constexpr double kHashCount = 18446744073709551616.0;  // Number of hash values: 2^64.
  const double uniform =
      (static_cast<double>(rendezvousHash(key, replicaId)) + 1.0) / (kHashCount + 2.0);
  return std::log(uniform) / weight;
}

}  // namespace gorsetrail::routing
