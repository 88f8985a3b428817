/// \file Constants and helpers shared by the source files of `Exchange`.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>

#include "base/time.h"
#include "routing/tenant_shares.h"

namespace gorsetrail::edge {

inline constexpr unsigned kBadGateway = 502;
inline constexpr unsigned kUnavailable = 503;
/// Lower statuses of a replica are successes.
inline constexpr unsigned kFirstFailureStatus = 300;
/// The edge gives its final answer this long before the client's deadline, so that the answer
/// arrives in time.
inline constexpr Duration kAnswerMargin = milliseconds(20);

/// \return a number of requests with one decimal, for log lines: loads estimated from digests are
/// no whole numbers.
inline std::string tenthsOf(double requests) {
  constexpr long long kTenths = 10;
  const long long tenths = std::llround(requests * kTenths);
  return std::to_string(tenths / kTenths) + "." + std::to_string(tenths % kTenths);
}

/// \return the tenant's share for log lines; empty while the capacity is not divided.
inline std::string shareTextOf(const routing::TenantShare& use) {
  return std::isfinite(use.share) ? tenthsOf(use.share) : std::string();
}

/// \return the span in whole milliseconds, for log lines; 0 for a negative span.
inline std::uint64_t wholeMilliseconds(Duration span) {
  return static_cast<std::uint64_t>(std::max<Duration::rep>(0, span.count() / 1000));
}

}  // namespace gorsetrail::edge
