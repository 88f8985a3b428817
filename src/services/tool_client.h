/// \file Client of the platform's tools. A tool may hang: every call has a time limit.
#pragma once

#include <functional>
#include <string>

#include "base/result.h"
#include "http/http_client.h"

namespace gorsetrail::services {

/// Calls a tool once. Errors: `PlatformUnavailable`; `outcome` says whether the tool may have run.
class ToolClient {
 public:
  /// `result`: the tool's result as JSON text.
  using OnResult = std::function<void(Result<std::string> result)>;
  ToolClient(http::HttpClient& client, std::string address, Duration timeLimit = seconds(30));
  /// \param input JSON text.
  void invoke(const std::string& tool, std::string input, const OnResult& onResult);

 private:
  http::HttpClient& client_;
  std::string address_;
  Duration timeLimit_;
};

}  // namespace gorsetrail::services
