#include "lab/load/caller.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace gorsetrail::load {
namespace {

using boost::asio::awaitable;

constexpr std::uint32_t kMaximumRedirects = 5;
constexpr std::uint32_t kMaximumRetrySeconds = 5;
constexpr std::uint32_t kCloseAttempts = 5;
constexpr Duration kRetryPause = milliseconds(200);
constexpr Duration kPageTimeLimit = seconds(5);
/// Above the call's own limit, so that the node's answer to a late call is still read.
constexpr Duration kTimeLimitMargin = seconds(5);
constexpr unsigned kOk = 200;
constexpr unsigned kTemporaryRedirect = 307;
constexpr unsigned kConflict = 409;

/// Kinds that another attempt with the same key cannot mend.
constexpr std::array<std::string_view, 13> kLastingKinds = {
    "malformed_request", "request_too_large", "missing_field",    "invalid_field",
    "unknown_field",     "unknown_model",     "unknown_tenant",   "work_not_allowed",
    "program_closed",    "history_mismatch",  "request_conflict", "budget_exceeded",
    "program_not_found"};

bool isLasting(const std::string& kind) {
  return std::ranges::find(kLastingKinds, kind) != kLastingKinds.end();
}

Duration pauseAfter(const ReadRefusal& refusal) {
  if (refusal.retryAfterSeconds == 0) {
    return kRetryPause;
  }
  return seconds(std::min(refusal.retryAfterSeconds, kMaximumRetrySeconds));
}

std::string bodyOf(const Call& call, std::uint32_t maximumTokens) {
  nlohmann::json body = {{"model", call.work},
                         {"messages", nlohmann::json::parse(call.messages)},
                         {"max_tokens", maximumTokens}};
  if (call.stream) {
    body["stream"] = true;
  }
  return body.dump();
}

std::string programTarget(const ProgramIdentity& program) {
  return "/v1/programs/" + program.key.name + "?tenant=" + program.key.tenant +
         "&zone=" + program.key.homeZone;
}

}  // namespace

http::Request Caller::requestFor(const Call& call, const std::string& address) const {
  const Workload& workload = run_.site.workload;
  const ProgramKey& key = call.started.program.key;
  http::Request request;
  request.method = "POST";
  request.address = address;
  request.target = "/v1/chat/completions";
  request.headers = {
      {"Content-Type", "application/json"},
      {"Gorsetrail-Tenant", key.tenant},
      {"Gorsetrail-Program", call.programName},
      {"Gorsetrail-Zone", key.homeZone},
      {"Idempotency-Key", call.started.key},
      {"Gorsetrail-Timeout-Ms",
       std::to_string(std::chrono::duration_cast<milliseconds>(workload.callTimeLimit).count())}};
  if (!call.parent.empty()) {
    request.headers.push_back({"Gorsetrail-Parent", call.parent});
  }
  if (call.started.application) {
    request.headers.push_back({"Gorsetrail-Repeatable", "false"});
  }
  const NodeAddress* node = nodeAt(address);
  if (node != nullptr && node->plannedStop) {
    // Without idle connections a broken one always had a request in flight.
    request.headers.push_back({"Connection", "close"});
  }
  request.body = bodyOf(call, workload.maximumTokens);
  request.timeLimit = workload.callTimeLimit + kTimeLimitMargin;
  return request;
}

const NodeAddress* Caller::nodeAt(const std::string& address) const {
  for (const NodeAddress& node : run_.site.nodes) {
    if (node.callers == address) {
      return &node;
    }
  }
  return nullptr;
}

void Caller::goTo(const std::string& address) {
  const NodeAddress* node = nodeAt(address);
  if (node != nullptr) {
    node_ = static_cast<std::size_t>(node - run_.site.nodes.data());
  }
}

void Caller::goToNextNode() { node_ = (node_ + 1) % run_.site.nodes.size(); }

void Caller::noteEnd(const Call& call, const std::string& address, const HttpOutcome& outcome) {
  const auto* failure = std::get_if<http::Failure>(&outcome);
  if (failure != nullptr && failure->stage == http::FailureStage::NotSent) {
    ++run_.figures.errors["connection_refused"];
    return;
  }
  if (failure != nullptr) {
    ++run_.figures.errors["connection_broken"];
  }
  const NodeAddress* node = nodeAt(address);
  run_.checker.on(AttemptEnded{call.started.key, node == nullptr ? 0 : node->node,
                               node != nullptr && node->plannedStop, failure != nullptr});
}

awaitable<std::optional<ReadAnswer>> Caller::attempt(const Call& call) {
  std::string target = address();
  for (std::uint32_t redirects = 0; redirects <= kMaximumRedirects; ++redirects) {
    ++run_.figures.attempts;
    const HttpOutcome outcome = co_await exchange(run_.client, requestFor(call, target));
    noteEnd(call, target, outcome);
    if (std::holds_alternative<http::Failure>(outcome)) {
      co_return std::nullopt;
    }
    ReadAnswer answer = readAnswer(call.started.key, std::get<http::Response>(outcome));
    const auto* redirect = std::get_if<ReadRedirect>(&answer);
    if (redirect == nullptr) {
      goTo(target);
      co_return answer;
    }
    ++run_.figures.redirects;
    target = redirect->address;
  }
  ++run_.figures.errors["redirect_loop"];
  co_return std::nullopt;
}

awaitable<CallResult> Caller::make(const Call& call) {
  run_.checker.on(call.started);
  CallResult result;
  for (std::uint32_t count = 0; count < run_.site.workload.maximumAttempts; ++count) {
    const std::optional<ReadAnswer> answer = co_await attempt(call);
    if (!answer) {
      goToNextNode();
      co_await pause(kRetryPause);
      continue;
    }
    if (const auto* answered = std::get_if<CallAnswered>(&*answer)) {
      run_.checker.on(*answered);
      ++run_.figures.callsAnswered;
      run_.figures.promptTokens += answered->promptTokens;
      run_.figures.cachedTokens += answered->cachedTokens;
      run_.figures.completionTokens += answered->completionTokens;
      result.answer = *answered;
      co_return result;
    }
    const auto& refusal = std::get<ReadRefusal>(*answer);
    run_.checker.on(refusal.refused);
    ++run_.figures.errors[refusal.refused.kind];
    result.refusedKind = refusal.refused.kind;
    if (isLasting(refusal.refused.kind)) {
      co_return result;
    }
    goToNextNode();
    co_await pause(pauseAfter(refusal));
  }
  ++run_.figures.callsGivenUp;
  co_return result;
}

awaitable<void> Caller::repeat(const Call& call) {
  const std::optional<ReadAnswer> answer = co_await attempt(call);
  if (!answer) {
    co_return;
  }
  if (const auto* answered = std::get_if<CallAnswered>(&*answer)) {
    run_.checker.on(*answered);
  } else if (const auto* refusal = std::get_if<ReadRefusal>(&*answer)) {
    run_.checker.on(refusal->refused);
    ++run_.figures.errors[refusal->refused.kind];
  }
}

/// \return the answer of the program's owner; status 0 when no node gave one.
awaitable<http::Response> Caller::ask(const char* method, const ProgramIdentity& program) {
  std::string target = address();
  for (std::uint32_t redirects = 0; redirects <= kMaximumRedirects; ++redirects) {
    http::Request request;
    request.method = method;
    request.address = target;
    request.target = programTarget(program);
    request.timeLimit = kPageTimeLimit;
    const HttpOutcome outcome = co_await exchange(run_.client, std::move(request));
    const auto* response = std::get_if<http::Response>(&outcome);
    if (response == nullptr) {
      break;
    }
    if (response->status != kTemporaryRedirect) {
      co_return *response;
    }
    const ReadAnswer read = readAnswer({}, *response);
    target = std::get<ReadRedirect>(read).address;
  }
  co_return http::Response{};
}

awaitable<void> Caller::showHistory(const ProgramIdentity& program) {
  const http::Response response = co_await ask("GET", program);
  const nlohmann::json page = nlohmann::json::parse(response.body, nullptr, false);
  if (response.status == kOk && page.is_object() && page.contains("history")) {
    run_.checker.on(HistorySeen{program, page["history"].dump()});
  }
}

awaitable<bool> Caller::close(const ProgramIdentity& program) {
  for (std::uint32_t count = 0; count < kCloseAttempts; ++count) {
    const http::Response response = co_await ask("DELETE", program);
    const bool closed =
        (response.status >= kOk && response.status < 300) ||
        response.status == kConflict;  // Closed by an attempt whose answer was lost.
    if (closed) {
      co_return true;
    }
    goToNextNode();
    co_await pause(kRetryPause);
  }
  co_return false;
}

}  // namespace gorsetrail::load
