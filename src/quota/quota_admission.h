/// \file What requests ask of quotas.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/time.h"
#include "tenant/tenant.h"

namespace gorsetrail::quota {

/// What is lost when a request is turned away.
enum class ProgramStage : std::uint8_t {
  Beginning,  ///< Nothing of the program has run yet.
  Begun,      ///< Requests before it would be lost with it.
};

enum class QuotaVerdict : std::uint8_t {
  Granted,    ///< The request may be sent to a replica.
  OverLimit,  ///< The tenant has used what it may.
  Unknown,    ///< No coordinator could say anything, and this node's own share is spent or lent.
};

/// Whom a request's token was asked of, for log lines.
struct QuotaTrace {
  std::uint32_t partition = 0;  ///< Of tenants, see `quota_coordinator`.
  std::string coordinator;      ///< Asked last; empty: none was known.
  std::string lastAnswerBy;     ///< Coordinator that last answered for the partition; may be empty.
  std::optional<Duration> lastAnswerAge;  ///< Nothing: none ever answered this process.
  bool lastAnswerDecided = false;         ///< Else it had not borrowed enough.
  Duration waited{};                      ///< By the request.
};

struct QuotaDecision {
  QuotaVerdict verdict = QuotaVerdict::Granted;
  Duration retryAfter{};              ///< When the tenant can probably be served.
  std::optional<QuotaTrace> trace{};  ///< With `Unknown`.
};

/// Decides request by request whether a tenant is within its limit.
class QuotaAdmission {
 public:
  using Callback = std::function<void(QuotaDecision)>;

  virtual ~QuotaAdmission() = default;
  /// Calls back once, at once when the decision needs no other node.
  virtual void admit(const tenant::Tenant& tenant, ProgramStage stage, Callback callback) = 0;
  /// A granted request was not sent to any replica after all.
  virtual void giveBack(const std::string& tenant) = 0;
};

}  // namespace gorsetrail::quota
