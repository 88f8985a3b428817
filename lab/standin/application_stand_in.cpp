#include "lab/standin/application_stand_in.h"

#include <nlohmann/json.hpp>

#include "base/ids.h"
#include "lab/standin/answer_text.h"

namespace gorsetrail::standin {
namespace {

HttpResponse refusal(unsigned status, const std::string& requestId, std::string_view reason,
                     std::string_view remedy) {
  HttpResponse response = errorResponse(status, reason, remedy);
  response.headers = {{"X-Request-Id", requestId}, {"X-Not-Run", "true"}};
  return response;
}

}  // namespace

std::string contentOfRequest(const std::string& body) {
  const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
  if (document.is_object() && document.contains("messages")) {
    return messagesDigest(
        document["messages"].dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  }
  return contentDigestOf(body).toHex();
}

std::string receiptOf(const std::string& backendName, const std::string& content,
                      std::uint32_t run) {
  return backendName + "-" + content + "-" + std::to_string(run);
}

void ApplicationStandIn::handle(const HttpRequest& request, HttpExchangePtr exchange) {
  if (request.is("POST", "/v1/requests")) {
    serveRequest(request, exchange);
    return;
  }
  if (request.is("GET", "/v1/runs")) {
    exchange->respond(jsonResponse(200, runsJson()));
    return;
  }
  if (request.is("GET", "/v1/counters")) {
    exchange->respond(jsonResponse(200, nlohmann::json{{"requests", requests_}}.dump()));
    return;
  }
  const std::string_view key = request.restOf("GET", "/v1/requests/");
  const auto found = runs_.find(key);
  if (key.empty() || found == runs_.end()) {
    exchange->respond(errorResponse(404, "never seen", "check the Idempotency-Key in the path"));
    return;
  }
  exchange->respond(jsonResponse(200, found->second.answer));
}

void ApplicationStandIn::serveRequest(const HttpRequest& request, const HttpExchangePtr& exchange) {
  ++requests_;
  const std::string requestId(request.header("X-Request-Id"));
  const std::string key(request.header("Idempotency-Key"));
  if (requestId.empty() || key.empty()) {
    exchange->respond(
        refusal(400, requestId, "X-Request-Id or Idempotency-Key is missing", "send both headers"));
    return;
  }
  if (switches_.leaving || switches_.takeRefusal()) {
    HttpResponse response = refusal(503, requestId, "takes no new work", "use another replica");
    if (switches_.leaving) {
      response.headers.push_back({"X-Leaving", "true"});
    }
    exchange->respond(std::move(response));
    return;
  }
  HttpResponse response =
      jsonResponse(200, run(key, requestId, contentOfRequest(request.body)).answer);
  response.headers.push_back({"X-Request-Id", requestId});
  scheduler_.after(runTime_, [exchange, response] { exchange->respond(response); });
}

/// The run takes effect before its answer leaves, as in a real application.
const ApplicationRuns& ApplicationStandIn::run(const std::string& key, const std::string& requestId,
                                               const std::string& content) {
  ApplicationRuns& runs = runs_[key];
  ++runs.count;
  ++runs.countByContent[content];
  runs.requestId = requestId;
  const nlohmann::json answer = {{"request_id", requestId},
                                 {"receipt", receiptOf(name_, content, runs.count)},
                                 {"run", runs.count}};
  runs.answer = answer.dump();
  return runs;
}

std::string ApplicationStandIn::runsJson() const {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [key, runs] : runs_) {
    for (const auto& [content, count] : runs.countByContent) {
      list.push_back({{"idempotency_key", key},
                      {"request_id", runs.requestId},
                      {"content", content},
                      {"count", count}});
    }
  }
  return nlohmann::json{{"runs", std::move(list)}}.dump();
}

}  // namespace gorsetrail::standin
