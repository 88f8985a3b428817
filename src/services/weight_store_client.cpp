#include "services/weight_store_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "services/platform_answer.h"

namespace gorsetrail::services {
namespace {

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusTooMany = 429;
const std::string kService = "weights";

Result<Weights> readWeights(const std::string& name, const http::Response& response) {
  if (response.status == kStatusTooMany) {
    return Error{.kind = ErrorKind::AdmissionRefused,
                 .field = name,
                 .reason = "the weight store's rate is used up",
                 .remedy = "ask again after the time that it names",
                 .retryAfterSeconds = retryAfterOf(response)};
  }
  if (response.status == kStatusNotFound) {
    return Error{.kind = ErrorKind::UnknownModel,
                 .field = name,
                 .reason = "the weight store has no such weights",
                 .remedy = "name weights in the bundle that the store has"};
  }
  const auto json = nlohmann::json::parse(response.body, nullptr, false);
  const auto bytes = json.is_object() ? json.value("bytes", nlohmann::json()) : nlohmann::json();
  if (response.status != kStatusOk || !bytes.is_number_unsigned()) {
    return unusableAnswer(kService, "the description of weights cannot be read");
  }
  return Weights{name, bytes.get<std::uint64_t>()};
}

}  // namespace

WeightStoreClient::WeightStoreClient(http::HttpClient& client, std::string address,
                                     Duration timeLimit)
    : client_(client), address_(std::move(address)), timeLimit_(timeLimit) {}

void WeightStoreClient::fetch(const std::string& name, const OnWeights& onWeights) {
  http::Request request{.method = "GET",
                        .address = address_,
                        .target = "/v1/weights/" + name,
                        .headers = {},
                        .body = {},
                        .timeLimit = timeLimit_};
  ask(client_, kService, std::move(request),
      [name, onWeights](const Result<http::Response>& answer) {
        onWeights(succeeded(answer) ? readWeights(name, valueOf(answer))
                                    : Result<Weights>(errorOf(answer)));
      });
}

}  // namespace gorsetrail::services
