#include "lab/sim/network.h"

#include <algorithm>

namespace gorsetrail::sim {
namespace {

/// A reordered message comes later by up to this time.
constexpr Duration kReorderSpan = milliseconds(200);
constexpr std::uint64_t kJitterMicroseconds = 100;

}  // namespace

void SimNetwork::setPartitioned(const std::string& zone, bool partitioned) {
  if (partitioned) {
    partitioned_.insert(zone);
  } else {
    partitioned_.erase(zone);
  }
  lastChange_ = events_.now();
}

bool SimNetwork::reachable(const std::string& from, const std::string& to) const {
  return from == to || (!isPartitioned(from) && !isPartitioned(to));
}

Duration SimNetwork::delay(const std::string& from, const std::string& to) {
  const Duration base = from == to ? delays_.withinZone : delays_.betweenZones;
  return base + Duration(static_cast<Duration::rep>(random_.below(kJitterMicroseconds)));
}

void SimNetwork::sendPeer(NodeId from, const std::string& fromZone, NodeId to,
                          const std::string& toZone, const EventQueue::Action& deliver) {
  if (happens(conditions_.lossPerMille)) {
    return;
  }
  deliverOnce(from, fromZone, to, toZone, deliver);
  if (happens(conditions_.duplicatePerMille)) {
    deliverOnce(from, fromZone, to, toZone, deliver);
  }
}

void SimNetwork::deliverOnce(NodeId from, const std::string& fromZone, NodeId to,
                             const std::string& toZone, const EventQueue::Action& deliver) {
  if (!reachable(fromZone, toZone)) {
    return;
  }
  Instant arrival = events_.now() + delay(fromZone, toZone);
  if (happens(conditions_.reorderPerMille)) {
    arrival += Duration(static_cast<Duration::rep>(
        random_.below(static_cast<std::uint64_t>(kReorderSpan.count()))));
  } else {
    Instant& last = lastArrival_[{from, to}];
    arrival = std::max(arrival, last);
    last = arrival;
  }
  events_.schedule(arrival, [this, fromZone, toZone, deliver] {
    if (reachable(fromZone, toZone)) {
      deliver();
    }
  });
}

}  // namespace gorsetrail::sim
