#include "node/backend_dispatcher.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>
#include "services/completion_chunk.h"
#include "services/engine_request.h"

namespace gorsetrail::node {
namespace {

/// Longest answer taken; the node has 32 MB in all.
constexpr std::size_t kMaximumAnswerBytes = std::size_t{4} * 1024 * 1024;
/// Of a refusal's body only so much is told on.
constexpr std::size_t kMaximumReasonBytes = 256;
/// A back end that asks for more is not taken at its word.
constexpr std::uint32_t kLongestRetryAfterSeconds = 300;
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusRequestTimeout = 408;
constexpr unsigned kStatusConflict = 409;
constexpr unsigned kStatusUnavailable = 503;

bool sameName(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char one, char other) {
    return std::tolower(static_cast<unsigned char>(one)) ==
           std::tolower(static_cast<unsigned char>(other));
  });
}

std::string_view headerOf(const std::vector<http::Header>& headers, std::string_view name) {
  const auto found = std::find_if(headers.begin(), headers.end(), [name](const http::Header& each) {
    return sameName(each.name, name);
  });
  return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

/// \return the seconds of a `Retry-After`, within bounds; 0 when it has none (a date, or nothing).
std::uint32_t secondsIn(std::string_view value) {
  std::uint32_t parsed = 0;
  const char* const end = value.data() + value.size();
  const auto [rest, error] = std::from_chars(value.data(), end, parsed);
  return error == std::errc() && rest == end ? std::min(parsed, kLongestRetryAfterSeconds) : 0;
}

/// Statuses with which a back end turns a request away before it runs. A 408 or a 5xx but 503 may
/// come after the run began, and a 409 says that the id is known: it may have run under it.
bool isTurnedAway(unsigned status) {
  const bool isOfTheCaller = status >= 400 && status < 500;
  return status == kStatusUnavailable ||
         (isOfTheCaller && status != kStatusRequestTimeout && status != kStatusConflict);
}

http::Request makeRequest(const engine::StartDispatch& command, std::string body) {
  http::Request request;
  request.address = command.address;
  request.timeLimit = command.timeLimit;
  if (command.resumeFrom > 0) {
    request.target =
        "/v1/streams/" + command.id.toText() + "?from=" + std::to_string(command.resumeFrom);
    return request;
  }
  request.method = "POST";
  request.target = command.application ? "/v1/requests" : "/v1/chat/completions";
  request.headers = {{"Content-Type", "application/json"}, {"X-Request-Id", command.id.toText()}};
  if (command.application) {
    request.headers.push_back({"Idempotency-Key", idempotencyKeyOf(command)});
  }
  request.headers.push_back({"X-Priority", std::to_string(command.priorityLevel)});
  request.body = std::move(body);
  return request;
}

std::optional<std::string> makeBody(const engine::StartDispatch& command) {
  if (command.application) {
    return command.body;
  }
  if (command.resumeFrom > 0) {
    return std::string();
  }
  return services::makeEngineBody(command.body, {command.model, command.adapter});
}

}  // namespace

std::string idempotencyKeyOf(const engine::StartDispatch& command) {
  return command.id.program.toHex() + "." + command.request.toHex();
}

/// A dispatch under way. It has ended once it is no longer in `active_`.
struct BackendDispatcher::Dispatch {
  CallHandle handle;
  DispatchId id;
  std::string idText;
  bool application = false;
  bool resumed = false;
  bool ended = false;
  http::RequestHandlePtr request;

  // What the head of the answer said.
  unsigned status = 0;
  bool namesThisRequest = false;
  bool namesAnother = false;
  bool saysNotRun = false;
  bool saysLeaving = false;
  std::uint32_t retryAfterSeconds = 0;

  // The answer so far.
  std::string text;  ///< Content of the stream, or the whole body.
  std::uint32_t nextOffset = 0;
  std::optional<services::TokenUsage> usage;
  bool sawEnd = false;
  std::string fault;  ///< Why the stream cannot be read any further.
  std::optional<services::EventStreamParser> events;
  services::CompletionChunk chunk;  ///< Kept for its memory.
};

BackendDispatcher::BackendDispatcher(http::HttpClient& client, OnEvent onEvent)
    : client_(client), onEvent_(std::move(onEvent)) {}

BackendDispatcher::~BackendDispatcher() {
  for (const auto& [id, dispatch] : active_) {
    dispatch->ended = true;
    if (dispatch->request != nullptr) {
      dispatch->request->cancel();
    }
  }
}

void BackendDispatcher::start(const engine::StartDispatch& command) {
  const auto dispatch = std::make_shared<Dispatch>();
  dispatch->handle = command.handle;
  dispatch->id = command.id;
  dispatch->idText = command.id.toText();
  dispatch->application = command.application;
  dispatch->resumed = command.resumeFrom > 0;
  dispatch->nextOffset = command.resumeFrom;
  DispatchPtr& slot = active_[command.id];
  if (slot != nullptr) {
    slot->ended = true;
    if (slot->request != nullptr) {
      slot->request->cancel();
    }
  }
  slot = dispatch;
  ++(dispatch->resumed ? counters_.resumed : counters_.started);
  std::optional<std::string> body = makeBody(command);
  if (!body) {
    endNotSent(dispatch, "the request's body is not a JSON object");
    return;
  }
  const http::RequestHandlePtr request =
      client_.send(makeRequest(command, std::move(*body)), makeHandler(dispatch));
  // A handler may have run within `send` and ended the dispatch already.
  if (!dispatch->ended) {
    dispatch->request = request;
  }
}

void BackendDispatcher::cancel(const engine::CancelDispatch& command) {
  const auto found = active_.find(command.id);
  const bool isApplication = found != active_.end() && found->second->application;
  if (found != active_.end()) {
    const DispatchPtr dispatch = found->second;
    active_.erase(found);
    dispatch->ended = true;
    if (dispatch->request != nullptr) {
      dispatch->request->cancel();
    }
    ++counters_.cancelled;
  }
  if (isApplication) {
    return;  // Applications know no cancelling: the request may run on.
  }
  // The connection is closed first, so that a stream that broke off is not taken for its end.
  http::Request request;
  request.method = "DELETE";
  request.address = command.address;
  request.target = "/v1/streams/" + command.id.toText();
  http::ResponseHandler handler;
  handler.onDone = [](const http::Response&) {};
  handler.onFailure = [](const http::Failure&) {};
  client_.send(std::move(request), std::move(handler));
}

http::ResponseHandler BackendDispatcher::makeHandler(const DispatchPtr& dispatch) {
  http::ResponseHandler handler;
  // A dispatch that has ended, or whose dispatcher is gone, is marked and its callbacks are void.
  handler.onHead = [this, dispatch](unsigned status, const std::vector<http::Header>& headers) {
    if (!dispatch->ended) {
      onHead(dispatch, status, headers);
    }
  };
  handler.onBody = [this, dispatch](std::string_view part) {
    if (!dispatch->ended) {
      onBody(dispatch, part);
    }
  };
  handler.onDone = [this, dispatch](const http::Response&) {
    if (!dispatch->ended) {
      onDone(dispatch);
    }
  };
  handler.onFailure = [this, dispatch](const http::Failure& failure) {
    if (!dispatch->ended) {
      onFailure(dispatch, failure);
    }
  };
  return handler;
}

void BackendDispatcher::onHead(const DispatchPtr& dispatch, unsigned status,
                               const std::vector<http::Header>& headers) {
  dispatch->status = status;
  const std::string_view named = headerOf(headers, "X-Request-Id");
  dispatch->namesThisRequest = named == dispatch->idText;
  dispatch->namesAnother = !named.empty() && !dispatch->namesThisRequest;
  dispatch->saysNotRun = headerOf(headers, "X-Not-Run") == "true";
  dispatch->saysLeaving = headerOf(headers, "X-Leaving") == "true";
  dispatch->retryAfterSeconds = secondsIn(headerOf(headers, "Retry-After"));
  if (dispatch->namesAnother) {
    endMalformed(dispatch, "the answer names another request");
    return;
  }
  if (status == kStatusOk && !dispatch->application) {
    // The parser lives in the dispatch, so the plain reference cannot outlive it.
    dispatch->events.emplace([this, &stream = *dispatch](const services::ServerSentEvent& event) {
      return onStreamEvent(stream, event);
    });
  }
}

void BackendDispatcher::onBody(const DispatchPtr& dispatch, std::string_view part) {
  if (!dispatch->events) {
    if (dispatch->text.size() + part.size() > kMaximumAnswerBytes) {
      endMalformed(dispatch, "the answer is too long");
      return;
    }
    dispatch->text += part;
    return;
  }
  const bool goesOn = dispatch->events->feed(part);
  if (dispatch->ended) {
    return;  // Cancelled by whoever took a chunk.
  }
  if (dispatch->sawEnd) {
    endFinished(dispatch);
  } else if (!goesOn) {
    endMalformed(dispatch, dispatch->fault.empty() ? "an event is too long" : dispatch->fault);
  }
}

bool BackendDispatcher::onStreamEvent(Dispatch& dispatch, const services::ServerSentEvent& event) {
  if (event.data == "[DONE]") {
    dispatch.sawEnd = true;
    return false;
  }
  if (!services::readCompletionChunk(event.data, dispatch.chunk)) {
    dispatch.fault = "a chunk of the stream cannot be read";
    return false;
  }
  if (dispatch.chunk.hasError || event.type == "error") {
    dispatch.fault = "the engine ended the stream with an error";
    return false;
  }
  if (dispatch.chunk.usage) {
    dispatch.usage = dispatch.chunk.usage;
  }
  return dispatch.chunk.content.empty() || takeText(dispatch, event);
}

bool BackendDispatcher::takeText(Dispatch& dispatch, const services::ServerSentEvent& event) {
  std::uint32_t offset = dispatch.nextOffset;
  const char* const end = event.id.data() + event.id.size();
  const auto parsed = std::from_chars(event.id.data(), end, offset);
  if (!event.id.empty() && (parsed.ec != std::errc() || parsed.ptr != end)) {
    dispatch.fault = "a chunk's id is not a token offset";
    return false;
  }
  if (offset < dispatch.nextOffset) {
    return true;  // Said again, as after a resume; it has been taken before.
  }
  // A chunk is one token: the call resumes from the number of chunks that it has.
  if (offset > dispatch.nextOffset) {
    dispatch.fault = "the stream leaves out tokens";
    return false;
  }
  if (dispatch.text.size() + dispatch.chunk.content.size() > kMaximumAnswerBytes) {
    dispatch.fault = "the answer is too long";
    return false;
  }
  dispatch.nextOffset = offset + 1;
  dispatch.text += dispatch.chunk.content;
  ++counters_.chunks;
  onEvent_(dispatch.handle,
           engine::DispatchChunk{dispatch.id.attempt, offset, std::move(dispatch.chunk.content)});
  return !dispatch.ended;
}

void BackendDispatcher::onDone(const DispatchPtr& dispatch) {
  const bool isRefusal = isTurnedAway(dispatch->status) && dispatch->namesThisRequest &&
                         (!dispatch->application || dispatch->saysNotRun);
  if (dispatch->status != kStatusOk && isRefusal && !dispatch->resumed) {
    endRefused(dispatch);
  } else if (dispatch->status != kStatusOk) {
    endBroken(dispatch, "the back end answered status " + std::to_string(dispatch->status));
  } else if (dispatch->application) {
    finishApplication(dispatch);
  } else {
    endBroken(dispatch, "the stream ended before [DONE]");
  }
}

void BackendDispatcher::finishApplication(const DispatchPtr& dispatch) {
  if (!nlohmann::json::accept(dispatch->text)) {
    endMalformed(dispatch, "the answer is not JSON");
    return;
  }
  endFinished(dispatch);
}

void BackendDispatcher::onFailure(const DispatchPtr& dispatch, const http::Failure& failure) {
  if (failure.stage == http::FailureStage::NotSent) {
    endNotSent(dispatch, failure.reason);
  } else {
    endBroken(dispatch, failure.reason);
  }
}

void BackendDispatcher::endNotSent(const DispatchPtr& dispatch, const std::string& reason) {
  // Nothing left now, but the request that is to be resumed was sent before.
  if (dispatch->resumed) {
    endBroken(dispatch, reason);
    return;
  }
  ++counters_.notSent;
  end(dispatch, engine::DispatchNotSent{dispatch->id.attempt, reason});
}

void BackendDispatcher::endRefused(const DispatchPtr& dispatch) {
  ++counters_.refused;
  end(dispatch, engine::DispatchRefused{dispatch->id.attempt, dispatch->status,
                                        dispatch->text.substr(0, kMaximumReasonBytes),
                                        dispatch->saysLeaving, dispatch->retryAfterSeconds});
}

void BackendDispatcher::endBroken(const DispatchPtr& dispatch, const std::string& reason) {
  ++counters_.broken;
  end(dispatch, engine::DispatchBroken{dispatch->id.attempt, reason});
}

void BackendDispatcher::endMalformed(const DispatchPtr& dispatch, const std::string& reason) {
  ++counters_.malformed;
  // What else comes on this connection is of no use to anybody.
  if (dispatch->request != nullptr) {
    dispatch->request->cancel();
  }
  endBroken(dispatch, reason);
}

void BackendDispatcher::endFinished(const DispatchPtr& dispatch) {
  // Without usage the program's budget could not be settled.
  if (!dispatch->application && !dispatch->usage) {
    endMalformed(dispatch, "the stream ended without usage");
    return;
  }
  const services::TokenUsage usage = dispatch->usage.value_or(services::TokenUsage{});
  ++counters_.finished;
  end(dispatch,
      engine::DispatchFinished{dispatch->id.attempt, std::move(dispatch->text), usage.promptTokens,
                               usage.cachedTokens, usage.completionTokens});
}

void BackendDispatcher::end(const DispatchPtr& dispatch, const engine::DispatchEvent& event) {
  // Forgotten before it is reported: the report may start the next attempt, or resume this one.
  dispatch->ended = true;
  active_.erase(dispatch->id);
  onEvent_(dispatch->handle, event);
}

}  // namespace gorsetrail::node
