#include "node/front/pending_call.h"

#include <utility>

#include "node/front/error_response.h"

namespace gorsetrail::node {
namespace {

constexpr unsigned kStatusOk = 200;

Error slowReaderError() {
  return {ErrorKind::DeadlineExceeded,
          "stream",
          "the caller reads more slowly than the answer comes, and the node's buffer is full",
          "ask again with the same Idempotency-Key for the whole answer, and read faster",
          RunOutcome::OutcomeUnknown,
          1};
}

Error mismatchError() {
  return {ErrorKind::Internal,
          "stream",
          "the text sent is not the recorded answer's beginning",
          "discard the text and ask again with the same Idempotency-Key",
          RunOutcome::Completed,
          1};
}

}  // namespace

PendingCall::PendingCall(Facts facts, AnswerIdentity identity, http::ResponseWriterPtr writer,
                         std::size_t maximumBufferedBytes)
    : facts_(std::move(facts)),
      identity_(std::move(identity)),
      writer_(std::move(writer)),
      maximumBufferedBytes_(maximumBufferedBytes) {}

void PendingCall::beginStream() {
  if (stream_) {
    return;
  }
  stream_.emplace(identity_);
  writer_->beginStream(kStatusOk,
                       {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}});
}

void PendingCall::writeText(std::string_view text) { writer_->write(stream_->textEvent(text)); }

void PendingCall::flushText() {
  if (!waitingText_.empty()) {
    writeText(waitingText_);
    waitingText_.clear();
  }
}

bool PendingCall::addText(std::string_view text) {
  if (facts_.mode == engine::AnswerMode::Whole || ended_ || text.empty()) {
    return true;
  }
  beginStream();
  sentText_.add(text);
  if (writer_->bytesWaiting() == 0) {
    writeText(text);
    return true;
  }
  waitingText_ += text;
  if (waitingText_.size() <= maximumBufferedBytes_) {
    return true;
  }
  waitingText_ = {};
  endWithError(slowReaderError());
  return false;
}

void PendingCall::onFlushed() {
  if (!ended_) {
    flushText();
  }
}

void PendingCall::complete(const engine::AnswerCompleted& completed) {
  if (ended_) {
    return;
  }
  if (facts_.mode == engine::AnswerMode::Whole) {
    ended_ = true;
    writer_->sendWhole(wholeAnswer(identity_, completed));
    return;
  }
  completeStream(completed);
}

void PendingCall::completeStream(const engine::AnswerCompleted& completed) {
  beginStream();
  flushText();
  if (!sentText_.isBeginningOf(completed.answer)) {
    endWithError(mismatchError());
    return;
  }
  const std::string_view rest = std::string_view(completed.answer).substr(sentText_.bytes());
  if (!rest.empty()) {
    writeText(rest);
  }
  writer_->write(stream_->finalEvents(completed));
  writer_->endStream();
  ended_ = true;
}

void PendingCall::refuse(const Error& error) {
  if (ended_) {
    return;
  }
  if (stream_) {
    flushText();
    endWithError(error);
    return;
  }
  ended_ = true;
  writer_->sendWhole(errorResponse(error, facts_.target));
}

void PendingCall::endWithError(const Error& error) {
  writer_->write(StreamFormat::errorEvent(error));
  writer_->endStream();
  ended_ = true;
}

}  // namespace gorsetrail::node
