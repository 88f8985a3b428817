/// \file Reads what a node answered to a call: whole, streamed or refused.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "http/http_client.h"
#include "lab/load/observation.h"

namespace gorsetrail::load {

/// A refusal as read, with what the caller should do.
struct ReadRefusal {
  CallRefused refused;
  std::uint32_t retryAfterSeconds = 0;
};
/// The node named another one (307).
struct ReadRedirect {
  std::string address;  ///< `ip:port`.
  std::string target;
};
using ReadAnswer = std::variant<CallAnswered, ReadRefusal, ReadRedirect>;

/// \param key of the call, put into the observation.
/// \return what the response says; anything unreadable is a refusal with an unknown outcome.
ReadAnswer readAnswer(const std::string& key, const http::Response& response);

/// \return the value of a header (names compare without case), or an empty text.
std::string_view headerOf(const http::Response& response, std::string_view name);

}  // namespace gorsetrail::load
