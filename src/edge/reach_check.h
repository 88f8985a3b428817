/// \file Tells a replica that is out of reach from a node that reaches nobody.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "http/http_client.h"

namespace gorsetrail::edge {

/// What new connections showed of a replica that says nothing.
enum class Reach : std::uint8_t {
  Reached,     ///< It takes connections: it lives.
  OutOfReach,  ///< It takes none, and another replica does: it has ended or is cut off.
  Unknown,     ///< Neither does: this node's own link or processor may be what is slow.
};

/// \return a stable snake_case name for log lines.
[[nodiscard]] std::string_view reachName(Reach reach);

/// Opens two connections to the replica and one to a witness, all at once. On a node whose link is
/// full, or that gets no processor, every connection comes too late: the replica alone would then
/// look gone while it runs the request.
/// \param witness another replica's address; empty: there is none, and the replica's own connection
/// decides.
/// \param limit for each connection.
void checkReach(http::HttpClient& client, const std::string& replica, const std::string& witness,
                Duration limit, std::function<void(Reach)> callback);

}  // namespace gorsetrail::edge
