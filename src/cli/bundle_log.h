/// \file The stream of the platform's log that carries bundles, as the operators' command uses it.
#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "cli/http_exchange.h"

namespace gorsetrail::cli {

/// A record as it stands in the log.
struct BundleRecord {
  LogOffset offset;
  std::string envelope;
};

/// Reads and appends envelopes. No call is repeated here: an append whose answer is lost may have
/// taken effect.
class BundleLog {
 public:
  BundleLog(HttpExchange& http, std::string address, Duration timeLimit)
      : http_(http), address_(std::move(address)), timeLimit_(timeLimit) {}

  /// \return the records that were not read before, in log order, or `PlatformUnavailable`.
  Result<std::vector<BundleRecord>> readOn();

  /// \return the offset the log names, or `PlatformUnavailable`: the record may stand all the same.
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
