/// \file Pending events of an emulation, by time and then by the order in which they were added.
#pragma once

#include <cstdint>
#include <queue>
#include <vector>

#include "base/time.h"

namespace gorsetrail::emulator {

enum class EventKind : std::uint8_t {
  CallDue,          ///< subject: program.
  RequestArrives,   ///< subject: program; number: call.
  AnswerArrives,    ///< subject: program; number: call.
  PauseEnds,        ///< subject: program.
  PatienceExpires,  ///< subject: program; number: call.
  EngineWakes,      ///< subject: engine; number: version of the wake-up.
  ReportsArrive,
};

struct Event {
  Instant at{};
  std::uint64_t order = 0;
  EventKind kind = EventKind::CallDue;
  std::uint32_t subject = 0;
  std::uint64_t number = 0;
};

class EventQueue {
 public:
  void add(Instant at, EventKind kind, std::uint32_t subject, std::uint64_t number = 0) {
    events_.push({at, ++order_, kind, subject, number});
  }
  [[nodiscard]] bool empty() const { return events_.empty(); }
  Event take() {
    const Event event = events_.top();
    events_.pop();
    return event;
  }

 private:
  struct Later {
    bool operator()(const Event& a, const Event& b) const {
      return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
  };
  std::priority_queue<Event, std::vector<Event>, Later> events_;
  std::uint64_t order_ = 0;
};

}  // namespace gorsetrail::emulator
