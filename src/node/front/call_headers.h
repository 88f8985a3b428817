/// \file Reads the headers by which a caller names its tenant, program and request.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "http/http_server.h"

namespace gorsetrail::node {

inline constexpr std::string_view kTenantHeader = "Gorsetrail-Tenant";
inline constexpr std::string_view kProgramHeader = "Gorsetrail-Program";
inline constexpr std::string_view kParentHeader = "Gorsetrail-Parent";
inline constexpr std::string_view kZoneHeader = "Gorsetrail-Zone";
inline constexpr std::string_view kRepeatableHeader = "Gorsetrail-Repeatable";
inline constexpr std::string_view kTimeoutHeader = "Gorsetrail-Timeout-Ms";
inline constexpr std::string_view kIdempotencyHeader = "Idempotency-Key";

inline constexpr std::size_t kMaximumNameBytes = 128;
inline constexpr std::size_t kMaximumBranchLevels = 8;
/// Longest time limit that a caller may ask for.
inline constexpr Duration kMaximumTimeLimit = seconds(24 * 3600);

/// What the headers say of a call.
struct CallHeaders {
  ProgramKey key;
  std::string branchPath;
  std::string idempotencyKey;  ///< Empty when absent.
  bool repeatable = true;
  std::optional<Duration> timeLimit;
};

/// Strict: a header of ours that comes twice, has a forbidden character or is not known is an
/// error, since a misspelt `Gorsetrail-Repeatable` would else run a filing twice.
/// Errors: `MissingField`, `InvalidField`, `UnknownField`.
Result<CallHeaders> parseCallHeaders(const std::vector<http::Header>& headers,
                                     const std::string& defaultZone);

/// \return whether `text` is a name as bundles have them: 1 to `kMaximumNameBytes` of
/// `[A-Za-z0-9._:/-]`.
bool isBundleName(std::string_view text);

/// Checks a program's name: 1 to `kMaximumNameBytes` of `[A-Za-z0-9._-]`. Errors: `InvalidField`.
Result<Success> checkProgramName(std::string_view field, std::string_view text);
/// Checks the name of a tenant or zone, as bundles have them. Errors: `InvalidField`.
Result<Success> checkBundleName(std::string_view field, std::string_view text);

}  // namespace gorsetrail::node
