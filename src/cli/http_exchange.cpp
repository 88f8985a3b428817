#include "cli/http_exchange.h"

#include <utility>

namespace gorsetrail::cli {

Result<http::Response> NetworkExchange::send(const http::Request& request) {
  std::pair<http::Response, std::string> answer = http::sendAndWait(request);
  if (answer.first.status == 0) {
    const std::string reason = answer.second.empty() ? "no answer" : answer.second;
    return Error{ErrorKind::PlatformUnavailable, request.address, reason,
                 "check the address and that the process there is up, then try again"};
  }
  return std::move(answer.first);
}

}  // namespace gorsetrail::cli
