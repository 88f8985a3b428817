/// \file Reachability check that distinguishes an unreachable replica from a fault of this node's
/// own network link.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "http/http_client.h"

namespace gorsetrail::edge {

/// Result of a reachability check.
enum class Reachability : std::uint8_t {
  Reachable,    ///< The replica accepts connections.
  Unreachable,  ///< The replica accepts none, but the witness does: it stopped or is partitioned.
  Unknown,      ///< Neither accepts one: this node itself may be slow or disconnected.
};

/// \return the stable snake_case name for log lines; differs from the enumerator's name.
[[nodiscard]] std::string_view reachabilityName(Reachability reach);

/// Opens two connections to the replica and one to a witness at the same time. The witness guards
/// against false positives: on a node with a saturated link or CPU every connection times out,
/// while the replica may still execute the request.
/// \param replica address of the replica.
/// \param witness address of another replica; empty: the result depends on `replica` alone.
/// \param timeLimit timeout of each connection.
/// \param callback called once.
void checkReachability(http::HttpClient& client, const std::string& replica,
                       const std::string& witness, Duration timeLimit,
                       std::function<void(Reachability)> callback);

}  // namespace gorsetrail::edge
