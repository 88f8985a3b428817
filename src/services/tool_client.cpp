#include "services/tool_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "services/platform_answer.h"

namespace gorsetrail::services {
namespace {

constexpr unsigned kStatusOk = 200;
const std::string kService = "tools";

Result<std::string> readResult(const http::Response& response) {
  const auto json = nlohmann::json::parse(response.body, nullptr, false);
  if (response.status != kStatusOk || !json.is_object() || !json.contains("result")) {
    return unusableAnswer(kService, "status " + std::to_string(response.status) +
                                        ", or no result in the tool's answer");
  }
  return json["result"].dump();
}

}  // namespace

ToolClient::ToolClient(http::HttpClient& client, std::string address, Duration timeLimit)
    : client_(client), address_(std::move(address)), timeLimit_(timeLimit) {}

void ToolClient::invoke(const std::string& tool, std::string input, const OnResult& onResult) {
  http::Request request{.method = "POST",
                        .address = address_,
                        .target = "/v1/tools/" + tool,
                        .headers = {{"Content-Type", "application/json"}},
                        .body = std::move(input),
                        .timeLimit = timeLimit_};
  ask(client_, kService, std::move(request), [onResult](const Result<http::Response>& answer) {
    onResult(succeeded(answer) ? readResult(valueOf(answer))
                               : Result<std::string>(errorOf(answer)));
  });
}

}  // namespace gorsetrail::services
