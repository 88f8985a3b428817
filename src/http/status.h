/// \file Ranges of HTTP status codes (RFC 9110, section 15).
#pragma once

namespace gorsetrail::http {

/// \return whether a final response, as opposed to an interim one, may have the status.
constexpr bool isFinalStatus(unsigned status) {
  constexpr unsigned kLowest = 200;
  constexpr unsigned kHighest = 599;
  return status >= kLowest && status <= kHighest;
}

/// \return whether a response may have the status.
constexpr bool isStatus(unsigned status) {
  constexpr unsigned kLowestInterim = 100;
  constexpr unsigned kHighestInterim = 199;
  return isFinalStatus(status) || (status >= kLowestInterim && status <= kHighestInterim);
}

}  // namespace gorsetrail::http
