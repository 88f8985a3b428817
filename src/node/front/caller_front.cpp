#include "node/front/caller_front.h"

#include <algorithm>
#include <utility>

#include "node/front/call_headers.h"
#include "node/front/error_response.h"
#include "node/front/request_target.h"
#include "node/front/status_pages.h"

namespace gorsetrail::node {
namespace {

constexpr std::string_view kCallPath = "/v1/chat/completions";
constexpr std::string_view kProgramsPath = "/v1/programs/";
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusMethodNotAllowed = 405;
constexpr unsigned kStatusUnavailable = 503;
constexpr std::uint32_t kStoppingRetryAfterSeconds = 1;
constexpr double kMicrosecondsPerSecond = 1e6;

Error wrongMethod(const std::string& allowed) {
  return {ErrorKind::InvalidField, "method", "this path does not take this method",
          "use " + allowed};
}

Error unknownPath() {
  return {ErrorKind::InvalidField, "target", "there is nothing at this path",
          "use /v1/chat/completions, /v1/programs/NAME, /v1/status, /healthz or /metrics"};
}

http::WholeResponse jsonResponse(std::string body, unsigned status = 200) {
  return {status, {{"Content-Type", kJsonContentType}}, std::move(body)};
}

double secondsOf(Duration span) {
  return static_cast<double>(span.count()) / kMicrosecondsPerSecond;
}

std::uint64_t microsecondsOf(Duration span) { return static_cast<std::uint64_t>(span.count()); }

/// \return the key that path and query name. Errors: `MissingField`, `InvalidField`.
Result<ProgramKey> programKeyOf(const RequestTarget& target, const std::string& defaultZone) {
  ProgramKey key;
  key.name = target.path.substr(kProgramsPath.size());
  key.tenant = target.parameter("tenant").value_or("");
  key.homeZone = target.parameter("zone").value_or(defaultZone);
  if (key.tenant.empty()) {
    return Error{ErrorKind::MissingField, "tenant", "the query names no tenant",
                 "add ?tenant=NAME to the path"};
  }
  for (const Result<Success>& checked :
       {checkProgramName("program", key.name), checkBundleName("tenant", key.tenant),
        checkBundleName("zone", key.homeZone)}) {
    if (!succeeded(checked)) {
      return errorOf(checked);
    }
  }
  return key;
}

}  // namespace

CallerFront::CallerFront(FrontOptions options, NodeCore& core, FrontHooks hooks)
    : options_(std::move(options)), core_(core), hooks_(std::move(hooks)) {}

void CallerFront::onRequest(http::ServerRequest request, http::ResponseWriterPtr writer) {
  route(std::move(request), std::move(writer));
}

void CallerFront::route(http::ServerRequest request, http::ResponseWriterPtr writer) {
  const auto target = parseTarget(request.target);
  if (!target) {
    refuseRequest({ErrorKind::MalformedRequest, "target", "a percent escape in it is wrong",
                   "escape the path and query as in RFC 3986"},
                  request.target, *writer);
    return;
  }
  if (target->path == kCallPath) {
    if (request.method != "POST") {
      writer->sendWhole(errorResponse(wrongMethod("POST"), "", kStatusMethodNotAllowed));
      return;
    }
    takeCall(std::move(request), std::move(writer));
    return;
  }
  if (target->path.starts_with(kProgramsPath)) {
    servePrograms(request.method, *target, request.target, std::move(writer));
    return;
  }
  const bool page =
      target->path == "/healthz" || target->path == "/metrics" || target->path == "/v1/status";
  if (!page) {
    writer->sendWhole(errorResponse(unknownPath(), "", kStatusNotFound));
  } else if (request.method != "GET") {
    writer->sendWhole(errorResponse(wrongMethod("GET"), "", kStatusMethodNotAllowed));
  } else if (target->path == "/healthz") {
    serveHealth(*writer);
  } else if (target->path == "/metrics") {
    writer->sendWhole(
        {200, {{"Content-Type", "text/plain; version=0.0.4"}}, hooks_.renderMetrics()});
  } else {
    serveStatus(*writer);
  }
}

Error CallerFront::stoppingError() const {
  return {ErrorKind::NodeStopping, "",
          "this node is stopping", "ask another node with the same request id",
          RunOutcome::NotRun,      kStoppingRetryAfterSeconds};
}

Error CallerFront::stoppingErrorFor(const engine::CallRequest& call) const {
  Error error = stoppingError();
  if (!call.idempotencyKey.empty()) {
    // The journal was not asked: an earlier try with the same request id may have run.
    error.outcome = RunOutcome::OutcomeUnknown;
  }
  return error;
}

void CallerFront::refuseRequest(const Error& error, const std::string& target,
                                http::ResponseWriter& writer) {
  hooks_.log(
      LogLevel::Info, "request_refused",
      {{"kind", errorKindName(error.kind)}, {"field", error.field}, {"reason", error.reason}});
  writer.sendWhole(errorResponse(error, target));
}

void CallerFront::takeCall(http::ServerRequest request, http::ResponseWriterPtr writer) {
  std::string target = request.target;
  auto call = parseCallRequest(std::move(request), options_.defaults);
  if (!succeeded(call)) {
    refuseRequest(errorOf(call), target, *writer);
    return;
  }
  if (stopping_) {
    refuseRequest(stoppingErrorFor(valueOf(call)), target, *writer);
    return;
  }
  admit(std::move(valueOf(call)), std::move(target), std::move(writer));
}

void CallerFront::admit(engine::CallRequest call, std::string target,
                        http::ResponseWriterPtr writer) {
  const CallHandle handle(++lastHandle_);
  call.handle = handle;
  const Instant now = hooks_.now();
  AnswerIdentity identity;
  identity.id = "gorsetrail-" + std::to_string(options_.self.value()) + "-" +
                std::to_string(options_.incarnation.value()) + "-" + std::to_string(handle.value());
  identity.work = call.work;
  identity.createdSeconds = hooks_.wallSeconds();
  hooks_.log(LogLevel::Info, "call_arrived",
             {{"handle", handle.value()},
              {"tenant", call.key.tenant},
              {"zone", call.key.homeZone},
              {"program", call.key.name},
              {"branch", call.branchPath},
              {"work", call.work},
              {"request", call.idempotencyKey},
              {"body_bytes", call.body.size()}});
  PendingCall::Facts facts{call.key, call.branchPath, call.work, std::move(target), call.mode, now};
  auto pending = std::make_unique<PendingCall>(
      std::move(facts), std::move(identity), std::move(writer), options_.maximumStreamBufferBytes);
  PendingCall& taken = *calls_.emplace(handle, std::move(pending)).first->second;
  taken.writer().observe(
      {[this, handle] { onCallerGone(handle); }, [&taken] { taken.onFlushed(); }});
  core_.onCall(std::move(call), now);
  hooks_.afterEvent();
}

void CallerFront::onCallerGone(CallHandle handle) {
  const auto found = calls_.find(handle);
  if (found == calls_.end()) {
    return;
  }
  logEnd(*found->second, "caller_gone", handle, nullptr, nullptr);
  calls_.erase(found);
  core_.onCallerGone(handle, hooks_.now());
  hooks_.afterEvent();
}

void CallerFront::onDispatchStarted(const engine::StartDispatch& command) {
  const auto found = calls_.find(command.handle);
  if (found == calls_.end()) {
    return;
  }
  PendingCall& call = *found->second;
  const Duration sinceArrival = hooks_.now() - call.facts().arrived;
  if (!call.wasDispatched()) {
    hooks_.observeDispatchSeconds(secondsOf(sinceArrival));
  }
  call.markDispatched();
  hooks_.log(LogLevel::Info, "call_dispatched",
             {{"handle", command.handle.value()},
              {"dispatch", command.id.toText()},
              {"call", command.id.call.value()},
              {"attempt", command.id.attempt.value()},
              {"tenant", call.facts().key.tenant},
              {"program", call.facts().key.name},
              {"work", call.facts().work},
              {"back_end", command.backendName},
              {"resume_from", command.resumeFrom},
              {"since_arrival_us", microsecondsOf(sinceArrival)}});
}

void CallerFront::onChunk(const engine::AnswerChunk& chunk) {
  const auto found = calls_.find(chunk.handle);
  if (found == calls_.end()) {
    return;
  }
  if (!found->second->addText(chunk.text)) {
    hooks_.log(LogLevel::Warning, "stream_cut_for_slow_reader",
               {{"handle", chunk.handle.value()},
                {"tenant", found->second->facts().key.tenant},
                {"program", found->second->facts().key.name}});
  }
}

void CallerFront::onCompleted(const engine::AnswerCompleted& completed) {
  const auto found = calls_.find(completed.handle);
  if (found == calls_.end()) {
    return;
  }
  found->second->complete(completed);
  logEnd(*found->second, "call_completed", completed.handle, &completed, nullptr);
  calls_.erase(found);
}

void CallerFront::onRefused(const engine::AnswerRefused& refused) {
  if (const auto found = calls_.find(refused.handle); found != calls_.end()) {
    found->second->refuse(refused.error);
    logEnd(*found->second, "call_refused", refused.handle, nullptr, &refused.error);
    calls_.erase(found);
    return;
  }
  const auto closing = closes_.find(refused.handle);
  if (closing != closes_.end()) {
    refuseRequest(refused.error, closing->second.target, *closing->second.writer);
    closes_.erase(closing);
  }
}

void CallerFront::logEnd(const PendingCall& call, const char* event, CallHandle handle,
                         const engine::AnswerCompleted* completed, const Error* error) {
  const PendingCall::Facts& facts = call.facts();
  const Duration taken = hooks_.now() - facts.arrived;
  hooks_.observeCallSeconds(secondsOf(taken));
  if (completed != nullptr) {
    hooks_.log(LogLevel::Info, event,
               {{"handle", handle.value()},
                {"call", completed->call.value()},
                {"tenant", facts.key.tenant},
                {"program", facts.key.name},
                {"work", facts.work},
                {"back_end", completed->backendName},
                {"replayed", completed->replayed ? "true" : "false"},
                {"prompt_tokens", completed->promptTokens},
                {"cached_tokens", completed->cachedTokens},
                {"completion_tokens", completed->completionTokens},
                {"duration_us", microsecondsOf(taken)}});
    return;
  }
  hooks_.log(LogLevel::Info, event,
             {{"handle", handle.value()},
              {"tenant", facts.key.tenant},
              {"program", facts.key.name},
              {"work", facts.work},
              {"kind", error == nullptr ? "" : errorKindName(error->kind)},
              {"outcome", error == nullptr ? "" : runOutcomeName(error->outcome)},
              {"reason", error == nullptr ? "" : error->reason},
              {"duration_us", microsecondsOf(taken)}});
}

void CallerFront::servePrograms(const std::string& method, const RequestTarget& target,
                                const std::string& rawTarget, http::ResponseWriterPtr writer) {
  if (method != "GET" && method != "DELETE") {
    writer->sendWhole(errorResponse(wrongMethod("GET or DELETE"), "", kStatusMethodNotAllowed));
    return;
  }
  const auto key = programKeyOf(target, options_.defaults.zone);
  if (!succeeded(key)) {
    refuseRequest(errorOf(key), rawTarget, *writer);
  } else if (method == "GET") {
    showProgram(valueOf(key), *writer);
  } else if (stopping_) {
    refuseRequest(stoppingError(), rawTarget, *writer);
  } else {
    closeProgram(valueOf(key), rawTarget, std::move(writer));
  }
}

void CallerFront::showProgram(const ProgramKey& key, http::ResponseWriter& writer) {
  const auto summary = core_.programSummary(key);
  if (summary) {
    writer.sendWhole(jsonResponse(programJson(*summary)));
    return;
  }
  writer.sendWhole(errorResponse(
      {ErrorKind::ProgramNotFound, "program", "this node neither owns nor replicates the program",
       "ask a node of the program's home zone"},
      ""));
}

void CallerFront::closeProgram(const ProgramKey& key, const std::string& target,
                               http::ResponseWriterPtr writer) {
  const CallHandle handle(++lastHandle_);
  writer->observe({[this, handle] { closes_.erase(handle); }, {}});
  closes_.emplace(handle, PendingClose{key, target, std::move(writer)});
  core_.onCloseProgram(handle, key, hooks_.now());
  hooks_.afterEvent();
}

void CallerFront::onClosed(const CloseCompleted& closed) {
  const auto found = closes_.find(closed.handle);
  if (found == closes_.end()) {
    return;
  }
  const ProgramKey& key = found->second.key;
  hooks_.log(LogLevel::Info, "program_closed", {{"tenant", key.tenant}, {"program", key.name}});
  // The key was checked: its parts need no escape.
  found->second.writer->sendWhole(jsonResponse(R"({"program":")" + key.name + R"(","tenant":")" +
                                               key.tenant + R"(","closed":true})"));
  closes_.erase(found);
}

void CallerFront::serveHealth(http::ResponseWriter& writer) {
  const NodeFacts facts{
      options_.self, options_.incarnation, options_.defaults.zone, options_.site, stopping_,
      underWay()};
  writer.sendWhole(jsonResponse(healthJson(facts, core_), stopping_ ? kStatusUnavailable : 200));
}

void CallerFront::serveStatus(http::ResponseWriter& writer) {
  const NodeFacts facts{
      options_.self, options_.incarnation, options_.defaults.zone, options_.site, stopping_,
      underWay()};
  writer.sendWhole(jsonResponse(statusJson(facts, core_)));
}

bool CallerFront::hasUndispatchedCall() const {
  return std::any_of(calls_.begin(), calls_.end(),
                     [](const auto& entry) { return !entry.second->wasDispatched(); });
}

}  // namespace gorsetrail::node
