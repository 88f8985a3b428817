/// \file Weighted rendezvous hashing. No I/O, no clock.
#pragma once

#include <cstdint>
#include <string_view>

namespace gorsetrail::routing {

/// \return the hash by which unweighted rendezvous hashing ranks a replica for a key.
std::uint64_t rendezvousHash(std::string_view key, std::string_view replicaId);

/// \param weight over 0. A replica is preferred for a fraction of the keys that is proportional to
/// it. A change of one weight moves only keys to or from that replica.
/// \return the replica's score for the key; the highest one wins. With equal weights the order is
/// that of `rendezvousHash`.
double rendezvousScore(std::string_view key, std::string_view replicaId, double weight);

}  // namespace gorsetrail::routing
