#include "services/platform_answer.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace gorsetrail::services {
namespace {

constexpr unsigned kLowestServerError = 500;
constexpr unsigned kUnavailable = 503;

Error unavailable(const std::string& service, std::string reason, RunOutcome outcome) {
  return Error{.kind = ErrorKind::PlatformUnavailable,
               .field = "platform." + service,
               .reason = std::move(reason),
               .remedy =
                   "check that the platform's service runs at the address in the settings; "
                   "the node goes on asking by itself",
               .outcome = outcome};
}

bool isRetryAfter(const std::string& name) {
  constexpr std::string_view kName = "retry-after";
  return std::equal(name.begin(), name.end(), kName.begin(), kName.end(), [](char one, char two) {
    return std::tolower(static_cast<unsigned char>(one)) == two;
  });
}

}  // namespace

Error unusableAnswer(const std::string& service, const std::string& reason) {
  // What was asked for may have been done all the same.
  return unavailable(service, reason, RunOutcome::OutcomeUnknown);
}

void ask(http::HttpClient& client, const std::string& service, http::Request request,
         const OnAnswer& onAnswer) {
  http::ResponseHandler handler;
  handler.onDone = [service, onAnswer](http::Response response) {
    if (response.status < kLowestServerError) {
      onAnswer(std::move(response));
      return;
    }
    // "Unavailable" is said instead of doing the work; any other failure may have come after it.
    const RunOutcome outcome =
        response.status == kUnavailable ? RunOutcome::NotRun : RunOutcome::OutcomeUnknown;
    onAnswer(unavailable(service, "status " + std::to_string(response.status), outcome));
  };
  handler.onFailure = [service, onAnswer](const http::Failure& failure) {
    const RunOutcome outcome = failure.stage == http::FailureStage::NotSent
                                   ? RunOutcome::NotRun
                                   : RunOutcome::OutcomeUnknown;
    onAnswer(unavailable(service, failure.reason, outcome));
  };
  client.send(std::move(request), std::move(handler));
}

std::uint32_t retryAfterOf(const http::Response& response) {
  std::uint32_t value = 1;
  for (const http::Header& header : response.headers) {
    if (isRetryAfter(header.name)) {
      std::from_chars(header.value.data(), header.value.data() + header.value.size(), value);
    }
  }
  return std::max(value, 1U);
}

}  // namespace gorsetrail::services
