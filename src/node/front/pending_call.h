/// \file A call of a caller that waits for its answer, and what was written of it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "engine/call_interface.h"
#include "http/http_server.h"
#include "node/front/answer_format.h"
#include "node/front/text_digest.h"

namespace gorsetrail::node {

/// Writes one answer to its caller. A caller that reads slowly gets fewer and larger events: text
/// waits here while the connection is busy, up to a limit.
class PendingCall {
 public:
  /// What logs and errors say of the call.
  struct Facts {
    ProgramKey key;
    std::string branchPath;
    std::string work;
    std::string target;  ///< Of the request, for redirects.
    engine::AnswerMode mode = engine::AnswerMode::Whole;
    Instant arrived;
  };

  PendingCall(Facts facts, AnswerIdentity identity, http::ResponseWriterPtr writer,
              std::size_t maximumBufferedBytes);

  /// The next text of the answer. \return false when the caller reads too slowly and its stream
  /// was ended with an error; nothing more reaches it, but the call goes on.
  bool addText(std::string_view text);
  /// The connection took everything written so far.
  void onFlushed();
  void complete(const engine::AnswerCompleted& completed);
  void refuse(const Error& error);

  [[nodiscard]] const Facts& facts() const { return facts_; }
  /// \return whether a dispatch of the call was started; `markDispatched` says so.
  [[nodiscard]] bool wasDispatched() const { return dispatched_; }
  void markDispatched() { dispatched_ = true; }
  [[nodiscard]] http::ResponseWriter& writer() { return *writer_; }

 private:
  void beginStream();
  void writeText(std::string_view text);
  void flushText();
  void endWithError(const Error& error);
  void completeStream(const engine::AnswerCompleted& completed);

  Facts facts_;
  AnswerIdentity identity_;
  http::ResponseWriterPtr writer_;
  std::size_t maximumBufferedBytes_;
  std::optional<StreamFormat> stream_;
  std::string waitingText_;  ///< Text that waits for the connection.
  TextDigest sentText_;      ///< Text so far: it must be the answer's beginning.
  bool dispatched_ = false;
  bool ended_ = false;
};

}  // namespace gorsetrail::node
