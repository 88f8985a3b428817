/// \file Errors as callers see them: JSON with a status.
#pragma once

#include <optional>
#include <string>

#include "base/error.h"
#include "http/http_server.h"

namespace gorsetrail::node {

inline constexpr const char* kJsonContentType = "application/json";

/// \return `{"error": {"kind","field","reason","remedy","outcome","retry_after_s"}}`.
std::string errorJson(const Error& error);

/// \return the response with the kind's status, or with `status` when it is given.
/// A `ProgramOwnedElsewhere` error becomes a redirect to `error.location` + `target`.
http::WholeResponse errorResponse(const Error& error, const std::string& target,
                                  std::optional<unsigned> status = std::nullopt);

/// \return the response to a request that was not HTTP, or not within its limits.
http::WholeResponse faultResponse(http::ProtocolFault fault);

}  // namespace gorsetrail::node
