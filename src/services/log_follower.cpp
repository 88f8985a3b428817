#include <utility>

#include "services/log_client.h"

namespace gorsetrail::services {
namespace {

constexpr std::uint32_t kRecordsAPage = 100;

}  // namespace

struct LogFollower::State : std::enable_shared_from_this<LogFollower::State> {
  LogClient& log;
  std::string stream;
  LogOffset position;
  OnRecord onRecord;
  bool running = false;

  State(LogClient& client, std::string name, LogOffset from, OnRecord callback)
      : log(client), stream(std::move(name)), position(from), onRecord(std::move(callback)) {}

  void readPage(const PacedLoop::Report& report) {
    log.read(stream, position, kRecordsAPage,
             [self = shared_from_this(), report](const Result<LogPage>& page) {
               report(succeeded(page) ? self->takePage(valueOf(page)) : RoundVerdict::Failed);
             });
  }

  RoundVerdict takePage(const LogPage& page) {
    if (!running) {
      return RoundVerdict::Idle;
    }
    for (const LogRecord& record : page.records) {
      // Moved on first: a callback that stops the follower finds the right position.
      position = record.offset.next();
      onRecord(record);
      if (!running) {
        return RoundVerdict::Idle;
      }
    }
    const bool movedOn = page.next > position || !page.records.empty();
    position = page.next;
    return movedOn ? RoundVerdict::Busy : RoundVerdict::Idle;
  }
};

LogFollower::LogFollower(LogClient& log, TimerService& timers, std::string stream, LogOffset from,
                         Pace pace, std::uint64_t seed, OnRecord onRecord)
    : state_(std::make_shared<State>(log, std::move(stream), from, std::move(onRecord))),
      loop_(timers, pace, seed,
            [state = state_](const PacedLoop::Report& report) { state->readPage(report); }) {}

LogFollower::~LogFollower() { stop(); }

void LogFollower::start() {
  state_->running = true;
  loop_.start();
}

void LogFollower::stop() {
  state_->running = false;
  loop_.stop();
}

LogOffset LogFollower::position() const { return state_->position; }

}  // namespace gorsetrail::services
