#include <utility>

#include "services/log_client.h"

namespace gorsetrail::services {

struct LogWriter::State : std::enable_shared_from_this<LogWriter::State> {
  struct Waiting {
    std::string stream;
    std::uint64_t sequence = 0;
    std::string record;
  };

  LogClient& log;
  TimerService& timers;
  Backoff backoff;
  LogWriterLimits limits;
  OnAppended onAppended;
  std::deque<Waiting> waiting;
  std::size_t waitingBytes = 0;
  bool underWay = false;  ///< A request, or the pause after one that failed.
  bool stopped = false;

  State(LogClient& client, TimerService& timerService, Pace pace, std::uint64_t seed,
        LogWriterLimits bounds, OnAppended callback)
      : log(client),
        timers(timerService),
        backoff(pace, seed),
        limits(bounds),
        onAppended(std::move(callback)) {}

  [[nodiscard]] bool fits(const std::string& record) const {
    return !stopped && record.size() <= kMaximumRecordBytes && waiting.size() < limits.records &&
           waitingBytes + record.size() <= limits.bytes;
  }

  void push(Waiting item) {
    waitingBytes += item.record.size();
    waiting.push_back(std::move(item));
    appendFirst();
  }

  /// One at a time, so that the log has them in their order.
  void appendFirst() {
    if (underWay || stopped || waiting.empty()) {
      return;
    }
    underWay = true;
    log.append(waiting.front().stream, waiting.front().record,
               [self = shared_from_this()](const Result<LogOffset>& result) {
                 if (!self->stopped) {
                   succeeded(result) ? self->taken() : self->failed();
                 }
               });
  }

  void taken() {
    backoff.delayAfter(RoundVerdict::Busy);  // Forgets the failures; success needs no pause.
    const std::uint64_t sequence = waiting.front().sequence;
    waitingBytes -= waiting.front().record.size();
    waiting.pop_front();
    underWay = false;
    onAppended(sequence, true);
    appendFirst();
  }

  /// The record may stand all the same; it is appended again, and readers deduplicate.
  void failed() {
    timers.runAfter(backoff.delayAfter(RoundVerdict::Failed), [self = shared_from_this()] {
      self->underWay = false;
      self->appendFirst();
    });
  }
};

LogWriter::LogWriter(LogClient& log, TimerService& timers, Pace pace, std::uint64_t seed,
                     LogWriterLimits limits, OnAppended onAppended)
    : state_(std::make_shared<State>(log, timers, pace, seed, limits, std::move(onAppended))) {}

LogWriter::~LogWriter() { stop(); }

void LogWriter::append(std::string stream, std::uint64_t sequence, std::string record) {
  if (!state_->fits(record)) {
    state_->onAppended(sequence, false);
    return;
  }
  state_->push({std::move(stream), sequence, std::move(record)});
}

void LogWriter::stop() { state_->stopped = true; }

std::size_t LogWriter::waiting() const { return state_->waiting.size(); }

std::size_t LogWriter::waitingBytes() const { return state_->waitingBytes; }

std::uint32_t LogWriter::failures() const { return state_->backoff.failures(); }

}  // namespace gorsetrail::services
