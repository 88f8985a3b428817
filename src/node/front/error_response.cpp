#include "node/front/error_response.h"

#include "node/front/json_text.h"

namespace gorsetrail::node {
namespace {

constexpr unsigned kStatusRequestTimeout = 408;
constexpr unsigned kStatusMethodNotAllowed = 405;
constexpr unsigned kStatusHeadTooLarge = 431;

void appendMember(std::string& out, std::string_view name, std::string_view text) {
  appendJsonString(out, name);
  out.push_back(':');
  appendJsonString(out, text);
  out.push_back(',');
}

}  // namespace

std::string errorJson(const Error& error) {
  std::string out = R"({"error":{)";
  appendMember(out, "kind", errorKindName(error.kind));
  appendMember(out, "field", error.field);
  appendMember(out, "reason", error.reason);
  appendMember(out, "remedy", error.remedy);
  appendMember(out, "outcome", runOutcomeName(error.outcome));
  out += R"("retry_after_s":)" + std::to_string(error.retryAfterSeconds) + "}}";
  return out;
}

http::WholeResponse errorResponse(const Error& error, const std::string& target,
                                  std::optional<unsigned> status) {
  http::WholeResponse response;
  response.status = status.value_or(httpStatusOf(error.kind));
  response.headers = {{"Content-Type", kJsonContentType},
                      {"Gorsetrail-Outcome", std::string(runOutcomeName(error.outcome))}};
  if (error.retryAfterSeconds > 0) {
    response.headers.push_back({"Retry-After", std::to_string(error.retryAfterSeconds)});
  }
  if (error.kind == ErrorKind::ProgramOwnedElsewhere && !error.location.empty()) {
    response.headers.push_back({"Location", error.location + target});
  }
  response.body = errorJson(error);
  return response;
}

http::WholeResponse faultResponse(http::ProtocolFault fault) {
  switch (fault) {
    case http::ProtocolFault::HeadTooLarge:
      return errorResponse({ErrorKind::RequestTooLarge, "headers",
                            "the request's head is longer than 16 KiB", "send shorter headers"},
                           "", kStatusHeadTooLarge);
    case http::ProtocolFault::BodyTooLarge:
      return errorResponse({ErrorKind::RequestTooLarge, "body",
                            "the body is longer than the node's maximum_body_bytes",
                            "shorten the messages, or have an operator raise the limit"},
                           "");
    case http::ProtocolFault::RequestTimedOut:
      return errorResponse(
          {ErrorKind::DeadlineExceeded, "", "the request did not come whole in time",
           "send it again without pauses"},
          "", kStatusRequestTimeout);
    case http::ProtocolFault::MethodNotAllowed:
      return errorResponse({ErrorKind::MalformedRequest, "method",
                            "CONNECT and TRACE are not served", "use the method of the interface"},
                           "", kStatusMethodNotAllowed);
    case http::ProtocolFault::OutOfMemory:
      return errorResponse({ErrorKind::AdmissionRefused, "body",
                            "the node's memory for requests is taken", "send it again later"},
                           "");
    case http::ProtocolFault::Malformed:
      break;
  }
  return errorResponse({ErrorKind::MalformedRequest, "", "the request is not valid HTTP/1.1",
                        "correct its request line, headers and lengths"},
                       "");
}

}  // namespace gorsetrail::node
