/// \file Answers in OpenAI's form, whole and as server-sent events.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"
#include "engine/call_interface.h"
#include "http/http_server.h"

namespace gorsetrail::node {

/// What every part of one answer repeats.
struct AnswerIdentity {
  std::string id;  ///< Of the answer, for the caller's logs.
  std::string work;
  std::int64_t createdSeconds = 0;  ///< Since 1970.
};

/// \return the whole answer with its headers.
http::WholeResponse wholeAnswer(const AnswerIdentity& identity,
                                const engine::AnswerCompleted& completed);

/// Server-sent events of one streamed answer. The text of a token costs one escape and two
/// appends: everything else of its event is made once a call.
class StreamFormat {
 public:
  explicit StreamFormat(const AnswerIdentity& identity);

  /// \return the next event with that text; valid until the next call.
  std::string_view textEvent(std::string_view text);
  /// \return the last chunk with usage and call facts, and the end mark.
  [[nodiscard]] std::string finalEvents(const engine::AnswerCompleted& completed) const;
  /// \return the event that ends a stream that cannot be completed.
  [[nodiscard]] static std::string errorEvent(const Error& error);

 private:
  std::string head_;  ///< Start of every chunk, up to its choices.
  std::string event_;
  bool roleSent_ = false;
};

}  // namespace gorsetrail::node
