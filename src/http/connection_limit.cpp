#include "http/connection_limit.h"

#include <tuple>
#include <utility>

namespace gorsetrail::http {

ConnectionSlotPtr ConnectionLimit::open(std::function<void()> close, Instant now) {
  if (slots_.size() >= maximum_ && !closeOne()) {
    ++counters_.refused;
    return nullptr;
  }
  return std::make_unique<ConnectionSlot>(shared_from_this(), std::move(close), now);
}

bool ConnectionLimit::closeOne() {
  const ConnectionSlot* first = nullptr;
  for (const ConnectionSlot* slot : slots_) {
    const bool givesWay = slot->stage_ != ConnectionStage::Responding;
    if (givesWay && (first == nullptr || slot->givesWayBefore(*first))) {
      first = slot;
    }
  }
  if (first == nullptr) {
    return false;
  }
  ++counters_.closed;
  const auto close = first->close_;
  close();
  return true;
}

ConnectionSlot::ConnectionSlot(std::shared_ptr<ConnectionLimit> limit, std::function<void()> close,
                               Instant now)
    : limit_(std::move(limit)), close_(std::move(close)), since_(now) {
  limit_->slots_.insert(this);
}

ConnectionSlot::~ConnectionSlot() { limit_->slots_.erase(this); }

void ConnectionSlot::enter(ConnectionStage stage, Instant now) {
  const bool isWaiting = stage == ConnectionStage::Idle || stage == ConnectionStage::ReadingHead;
  if (isWaiting && !isProven_) {
    stage_ = ConnectionStage::Unproven;
    return;
  }
  stage_ = stage;
  since_ = now;
}

bool ConnectionSlot::givesWayBefore(const ConnectionSlot& other) const {
  return std::tie(stage_, since_) < std::tie(other.stage_, other.since_);
}

}  // namespace gorsetrail::http
