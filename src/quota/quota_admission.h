/// \file Admission control interface for rate limits of tenants.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/time.h"
#include "tenant/tenant.h"

namespace gorsetrail::quota {

/// Progress of the program that sent a request; programs already running have priority.
enum class ProgramStage : std::uint8_t {
  Starting,  ///< The program's first request; rejecting it loses no work.
  Started,   ///< A later request; rejecting it loses the program's earlier work.
};

enum class QuotaVerdict : std::uint8_t {
  Granted,    ///< The request may be sent to a replica.
  OverLimit,  ///< The tenant has reached its limit.
  Unknown,    ///< No coordinator decided, and this node's own share is leased out or used up.
};

/// How an undecided request was processed, for log lines.
struct QuotaTrace {
  std::uint32_t partition = 0;  ///< Partition of the tenant.
  std::string coordinator;      ///< Coordinator asked last; empty if none was known.
  std::string lastReplyFrom;    ///< Coordinator that last replied for the partition; may be empty.
  std::optional<Duration> lastReplyAge;  ///< Nothing if none has replied to this process.
  bool lastReplyDecided = false;  ///< False if that coordinator did not hold a sufficient share.
  Duration waited{};              ///< Time the request has waited.
};

struct QuotaDecision {
  QuotaVerdict verdict = QuotaVerdict::Granted;
  Duration retryAfter{};              ///< Suggested delay before the caller retries.
  std::optional<QuotaTrace> trace{};  ///< Set for `Unknown`.
};

/// Decides for each request whether its tenant is within its limit.
class QuotaAdmission {
 public:
  using Callback = std::function<void(QuotaDecision)>;

  virtual ~QuotaAdmission() = default;
  /// Calls `callback` exactly once, synchronously if no other node has to be asked.
  virtual void admit(const tenant::Tenant& tenant, ProgramStage stage, Callback callback) = 0;
  /// Returns the token of a granted request that was not sent to any replica.
  virtual void returnToken(const std::string& tenant) = 0;
};

}  // namespace gorsetrail::quota
