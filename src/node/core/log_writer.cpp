#include "node/core/log_writer.h"

#include <algorithm>
#include <utility>

#include "node/core/log_record.h"

namespace gorsetrail::node {
namespace {

constexpr std::uint32_t kMaximumDoublings = 16;

}  // namespace

void LogWriter::add(const program::AppendToLog& command) {
  for (const program::JournalEntry& entry : command.entries) {
    QueuedEntry queued{"journal-" + command.key.homeZone, encodeLogEntry(command.key, entry)};
    queuedBytes_ += queued.encoded.size();
    queue_.push_back(std::move(queued));
  }
  while (queuedBytes_ > knobs_.maximumQueuedBytes && !queue_.empty()) {
    queuedBytes_ -= queue_.front().encoded.size();
    queue_.pop_front();
    ++entriesDropped_;
  }
}

void LogWriter::makeRecord(Instant now) {
  std::vector<std::string> entries;
  std::size_t bytes = 0;
  const std::string stream = queue_.front().stream;
  while (!queue_.empty() && queue_.front().stream == stream) {
    const std::size_t next = queue_.front().encoded.size();
    if (!entries.empty() && bytes + next > knobs_.maximumRecordBytes) {
      break;
    }
    bytes += next;
    queuedBytes_ -= next;
    entries.push_back(std::move(queue_.front().encoded));
    queue_.pop_front();
  }
  ++lastSequence_;
  InFlight inFlight;
  inFlight.record.stream = stream;
  inFlight.record.sequence = lastSequence_;
  inFlight.record.record = encodeLogRecord(writer_, incarnation_, lastSequence_, entries);
  inFlight.entries = entries.size();
  inFlight.sentAt = now;
  inFlight_ = std::move(inFlight);
}

std::optional<AppendLogRecord> LogWriter::takeDue(Instant now) {
  if (inFlight_ && !inFlight_->resend) {
    if (now - inFlight_->sentAt < knobs_.answerTimeout) {
      return std::nullopt;
    }
    onFailed(now);
  }
  if (now < notBefore_) {
    return std::nullopt;
  }
  if (inFlight_) {
    inFlight_->resend = false;
    inFlight_->sentAt = now;
    return inFlight_->record;
  }
  if (queue_.empty()) {
    return std::nullopt;
  }
  makeRecord(now);
  return inFlight_->record;
}

void LogWriter::onFailed(Instant now) {
  // The record keeps its sequence: if it was taken after all, readers drop the second copy.
  inFlight_->resend = true;
  const std::uint32_t doublings = std::min(failures_, kMaximumDoublings);
  const Duration wait = std::min(knobs_.firstRetry * (1U << doublings), knobs_.longestRetry);
  const auto jitter = random_.below(static_cast<std::uint64_t>(wait.count() / 2) + 1);
  notBefore_ = now + wait / 2 + Duration(static_cast<Duration::rep>(jitter));
  ++failures_;
  catchingUp_ = true;
}

void LogWriter::onAppended(std::uint64_t sequence, bool taken, Instant now) {
  if (!inFlight_ || inFlight_->record.sequence != sequence) {
    return;  // An answer to a record that was dealt with before.
  }
  if (!taken) {
    onFailed(now);
    return;
  }
  entriesAppended_ += inFlight_->entries;
  inFlight_.reset();
  failures_ = 0;
  catchingUp_ = catchingUp_ && !queue_.empty();
  // After an outage all nodes have much to write: each takes its time.
  notBefore_ = now + (catchingUp_ ? knobs_.catchUpInterval : knobs_.batchInterval);
}

}  // namespace gorsetrail::node
