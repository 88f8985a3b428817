#include "lab/standin/engine_stream.h"

#include <algorithm>
#include <utility>

#include "lab/standin/answer_text.h"

namespace gorsetrail::standin {
namespace {

/// Token texts, ids and model names are printable and free of quotes, so that chunks are put
/// together as text: an engine writes tens of thousands a second.
std::string_view finishReason(bool cancelled) { return cancelled ? "cancelled" : "stop"; }

}  // namespace

std::string_view EngineStream::tokenText(std::uint32_t offset) const {
  return std::string_view(text_).substr(offset * kAnswerTokenCharacters, kAnswerTokenCharacters);
}

std::string EngineStream::usageJson() const {
  const std::uint32_t total = usage_.promptTokens + usage_.completionTokens;
  return R"("usage":{"prompt_tokens":)" + std::to_string(usage_.promptTokens) +
         R"(,"completion_tokens":)" + std::to_string(usage_.completionTokens) +
         R"(,"total_tokens":)" + std::to_string(total) +
         R"(,"prompt_tokens_details":{"cached_tokens":)" + std::to_string(usage_.cachedTokens) +
         "}}";
}

void EngineStream::appendChunk(std::string& out, std::uint32_t offset) const {
  out += "id: ";
  out += std::to_string(offset);
  out += "\ndata: {\"id\":\"";
  out += id_;
  out += R"(","object":"chat.completion.chunk","model":")";
  out += model_;
  out += R"(","choices":[{"index":0,"delta":{"content":")";
  out += tokenText(offset);
  out += "\"},\"finish_reason\":null}]}\n\n";
}

void EngineStream::endStream(Listener& listener) const {
  std::string out = "data: {\"id\":\"" + id_ + R"(","object":"chat.completion.chunk","model":")" +
                    model_ + R"(","choices":[{"index":0,"delta":{},"finish_reason":")";
  out += finishReason(cancelled_);
  out += "\"}]," + usageJson() + "}\n\ndata: [DONE]\n\n";
  listener.exchange->writeStream(out);
  listener.exchange->endStream();
}

void EngineStream::respondWhole(Listener& listener) const {
  const std::string_view content =
      std::string_view(text_).substr(0, emitted_ * kAnswerTokenCharacters);
  HttpResponse response;
  response.headers = {{"X-Request-Id", id_}};
  response.body = R"({"id":")" + id_ + R"(","object":"chat.completion","model":")" + model_ +
                  R"(","choices":[{"index":0,"message":{"role":"assistant","content":")";
  response.body += content;
  response.body += R"("},"finish_reason":")";
  response.body += finishReason(cancelled_);
  response.body += "\"}]," + usageJson() + "}";
  listener.exchange->respond(std::move(response));
}

void EngineStream::deliver(Listener& listener) {
  const bool cut = listener.breakAt > 0 && emitted_ >= listener.breakAt;
  if (listener.mode == ListenerMode::Stream && listener.nextOffset < emitted_) {
    std::string out;
    const std::uint32_t end = cut ? std::min(emitted_, listener.breakAt) : emitted_;
    for (; listener.nextOffset < end; ++listener.nextOffset) {
      appendChunk(out, listener.nextOffset);
    }
    listener.exchange->writeStream(out);
  }
  if (cut) {
    listener.exchange->drop();
  } else if (finished_ && listener.mode == ListenerMode::Stream) {
    endStream(listener);
  } else if (finished_) {
    respondWhole(listener);
  }
}

void EngineStream::listen(HttpExchangePtr exchange, ListenerMode mode, std::uint32_t offset,
                          std::uint32_t breakAfterTokens) {
  const std::uint32_t breakAt = breakAfterTokens == 0 ? 0 : offset + breakAfterTokens;
  Listener listener{std::move(exchange), mode, offset, breakAt};
  if (mode == ListenerMode::Stream) {
    listener.exchange->startStream({{"X-Request-Id", id_}});
  }
  deliver(listener);
  if (!listener.exchange->closed()) {
    listeners_.push_back(std::move(listener));
  }
}

void EngineStream::onToken(std::uint32_t offset) {
  emitted_ = std::max(emitted_, offset + 1);
  for (Listener& listener : listeners_) {
    deliver(listener);
  }
  std::erase_if(listeners_, [](const Listener& listener) { return listener.exchange->closed(); });
}

void EngineStream::onFinished(const enginemodel::Usage& usage, bool cancelled, Instant now) {
  usage_ = usage;
  emitted_ = usage.completionTokens;
  finished_ = true;
  cancelled_ = cancelled;
  finishedAt_ = now;
  for (Listener& listener : listeners_) {
    deliver(listener);
  }
  listeners_.clear();
}

}  // namespace gorsetrail::standin
