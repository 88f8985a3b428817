// Part of `Exchange`: limits the replicas that may end while they run one request, over all
// attempts of its client.
#include "edge/exchange.h"
#include "edge/request_identity.h"

namespace gorsetrail::edge {

const routing::RequestKey& Exchange::requestKey() {
  if (!requestKey_) {
    // The history is prepended to the body of a persisted turn when it has been found.
    const std::string& input = turnInput_.empty() ? request_.body : turnInput_;
    requestKey_ = requestKeyOf({checked_.tenantName(), request_.programId, request_.method,
                                request_.host, request_.target, request_.previousTurnId, input});
  }
  return *requestKey_;
}

}  // namespace gorsetrail::edge
