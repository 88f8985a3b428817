/// \file Identifies a request over all attempts of its client. Pure.
#pragma once

#include <string_view>

#include "routing/request_key.h"

namespace gorsetrail::edge {

/// What stays the same when a client sends a request again. The request ID and the session differ
/// between attempts and sub-agents; headers do not change what a replica executes.
struct RequestIdentity {
  std::string_view tenant;   ///< Empty: the request belongs to no tenant.
  std::string_view program;  ///< Empty outside programs: the content alone identifies it.
  std::string_view method;
  std::string_view host;
  std::string_view target;        ///< Path and query.
  std::string_view previousTurn;  ///< Turn that the request continues from.
  std::string_view input;         ///< Body as sent by the client, without the history.
};

/// \return a SHA-256 digest of all fields, truncated to 128 bits. A cryptographic hash, so that no
/// tenant can construct a request with the key of another tenant's request.
[[nodiscard]] routing::RequestKey requestKeyOf(const RequestIdentity& identity);

}  // namespace gorsetrail::edge
