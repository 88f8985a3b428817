#include "lab/standin/weight_store_stand_in.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace gorsetrail::standin {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

double burstOf(double requestsPerSecond) { return std::max(1.0, requestsPerSecond); }

}  // namespace

WeightStoreStandIn::WeightStoreStandIn(std::map<std::string, std::uint64_t, std::less<>> weights,
                                       double requestsPerSecond, Scheduler& scheduler)
    : weights_(std::move(weights)),
      requestsPerSecond_(requestsPerSecond),
      scheduler_(scheduler),
      allowance_(burstOf(requestsPerSecond)),
      lastRefill_(scheduler.now()) {}

void WeightStoreStandIn::handle(const HttpRequest& request, HttpExchangePtr exchange) {
  const std::string_view name = request.restOf("GET", "/v1/weights/");
  const auto found = weights_.find(name);
  if (name.empty() || found == weights_.end()) {
    exchange->respond(errorResponse(404, "no such weights", "check the name"));
    return;
  }
  if (!takeAllowance()) {
    exchange->respond(refuse());
    return;
  }
  const nlohmann::json body = {{"name", found->first}, {"bytes", found->second}};
  exchange->respond(jsonResponse(200, body.dump()));
}

bool WeightStoreStandIn::takeAllowance() {
  const Instant now = scheduler_.now();
  const auto elapsed = static_cast<double>((now - lastRefill_).count()) / kMicrosecondsPerSecond;
  lastRefill_ = now;
  allowance_ = std::min(burstOf(requestsPerSecond_), allowance_ + elapsed * requestsPerSecond_);
  if (allowance_ < 1.0) {
    return false;
  }
  allowance_ -= 1.0;
  return true;
}

HttpResponse WeightStoreStandIn::refuse() const {
  const double wait = (1.0 - allowance_) / requestsPerSecond_;
  const auto waitSeconds = static_cast<std::uint64_t>(std::max(1.0, std::ceil(wait)));
  HttpResponse response = errorResponse(429, "over the rate", "ask again after Retry-After");
  response.headers.push_back({"Retry-After", std::to_string(waitSeconds)});
  return response;
}

}  // namespace gorsetrail::standin
