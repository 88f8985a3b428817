/// \file Client of the platform's rate-limited store of model weights.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "base/result.h"
#include "http/http_client.h"

namespace gorsetrail::services {

/// What the store says of one item.
struct Weights {
  std::string name;
  std::uint64_t bytes = 0;
};

/// Asks once. Errors: `AdmissionRefused` over the store's rate (`retryAfterSeconds` set),
/// `UnknownModel`, `PlatformUnavailable`.
class WeightStoreClient {
 public:
  using OnWeights = std::function<void(Result<Weights>)>;
  WeightStoreClient(http::HttpClient& client, std::string address,
                    Duration timeLimit = seconds(30));
  void fetch(const std::string& name, const OnWeights& onWeights);

 private:
  http::HttpClient& client_;
  std::string address_;
  Duration timeLimit_;
};

}  // namespace gorsetrail::services
