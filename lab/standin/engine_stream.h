/// \file One answer of an engine and those who listen to it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "lab/enginemodel/engine_model.h"
#include "lab/standin/http_message.h"

namespace gorsetrail::standin {

/// How a listener takes the answer.
enum class ListenerMode : std::uint8_t { Whole, Stream };

/// The answer to one request: its text is known from the start, its tokens come one by one.
class EngineStream {
 public:
  EngineStream(std::string id, std::string model, std::string text)
      : id_(std::move(id)), model_(std::move(model)), text_(std::move(text)) {}

  /// Adds a listener, which gets the tokens from `offset` on, those already there at once.
  /// \param breakAfterTokens its connection is cut after so many tokens; 0: never.
  void listen(HttpExchangePtr exchange, ListenerMode mode, std::uint32_t offset,
              std::uint32_t breakAfterTokens);
  /// Token `offset` and those before it are there now.
  void onToken(std::uint32_t offset);
  void onFinished(const enginemodel::Usage& usage, bool cancelled, Instant now);

  [[nodiscard]] bool finished() const { return finished_; }
  [[nodiscard]] Instant finishedAt() const { return finishedAt_; }

 private:
  struct Listener {
    HttpExchangePtr exchange;
    ListenerMode mode = ListenerMode::Whole;
    std::uint32_t nextOffset = 0;
    std::uint32_t breakAt = 0;  ///< Offset at which it is cut; 0: never.
  };

  void deliver(Listener& listener);
  void appendChunk(std::string& out, std::uint32_t offset) const;
  void endStream(Listener& listener) const;
  void respondWhole(Listener& listener) const;
  [[nodiscard]] std::string usageJson() const;
  [[nodiscard]] std::string_view tokenText(std::uint32_t offset) const;

  std::string id_;
  std::string model_;
  std::string text_;
  std::uint32_t emitted_ = 0;
  enginemodel::Usage usage_;
  bool finished_ = false;
  bool cancelled_ = false;
  Instant finishedAt_{};
  std::vector<Listener> listeners_;
};

}  // namespace gorsetrail::standin
