/// \file What every client of the platform does with answers and failures.
#pragma once

#include <functional>
#include <string>

#include "base/result.h"
#include "http/http_client.h"

namespace gorsetrail::services {

/// Takes the whole answer, or why there is none.
using OnAnswer = std::function<void(Result<http::Response>)>;

/// Sends one request to a service of the platform. Errors: `PlatformUnavailable` with the
/// service's name in `field`, and in `outcome` whether the request may have taken effect.
/// Every status is handed over but 5xx, which is an error too.
void ask(http::HttpClient& client, const std::string& service, http::Request request,
         const OnAnswer& onAnswer);

/// \return the error for an answer that a service should not have given.
Error unusableAnswer(const std::string& service, const std::string& reason);

/// \return the seconds of a `Retry-After` header; 1 when it is missing or not a number.
std::uint32_t retryAfterOf(const http::Response& response);

}  // namespace gorsetrail::services
