/// \file HTTP client for the bundle stream of the platform's log.
#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "cli/http_exchange.h"

namespace gorsetrail::cli {

/// A record of the bundle stream.
struct BundleRecord {
  LogOffset offset;
  std::string envelope;
};

/// Reads and appends envelopes. Calls are not retried, because an append whose response is lost may
/// have taken effect.
class BundleLog {
 public:
  BundleLog(HttpExchange& http, std::string address, Duration timeLimit)
      : http_(http), address_(std::move(address)), timeLimit_(timeLimit) {}

  /// \return the records after the last one read, in log order, or `PlatformUnavailable`.
  Result<std::vector<BundleRecord>> readNewRecords();

  /// \return the offset of the record, or `PlatformUnavailable`; the record may be appended even
  /// then.
  Result<LogOffset> append(const std::string& envelope);

 private:
  Result<std::vector<BundleRecord>> readPage();
  [[nodiscard]] Error unusableAnswer(const std::string& reason) const;
  Result<http::Response> sendChecked(const http::Request& request);

  HttpExchange& http_;
  std::string address_;
  Duration timeLimit_;
  LogOffset next_;
};

}  // namespace gorsetrail::cli
