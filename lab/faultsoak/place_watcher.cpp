#include "lab/faultsoak/place_watcher.h"

#include <algorithm>

namespace gorsetrail::lab {
namespace {

constexpr Duration kWindow = seconds(1);

std::string millisecondsOf(Duration span) { return std::to_string(span.count() / 1000); }

}  // namespace

void PlaceWatcher::onEvacuated(const std::string& zone, std::optional<Instant> emptyAfter) {
  zones_[zone] = {emptyAfter, std::nullopt};
}

void PlaceWatcher::onUnrest(Instant emptyAfter) {
  for (auto& [name, zone] : zones_) {
    if (zone.emptyAfter) {
      zone.emptyAfter = std::max(*zone.emptyAfter, emptyAfter);
    }
  }
}

void PlaceWatcher::onOwnStall(Instant now) {
  ratesKnownFrom_ = now + kWindow;
  coldArrivals_.clear();
}

void PlaceWatcher::onTakenBack(const std::string& zone, Instant now) {
  zones_[zone] = {std::nullopt, now + limit_.coldTime};
}

void PlaceWatcher::onArrival(const std::string& zone, const std::string& replica, Instant now) {
  const Zone& state = zones_[zone];
  if (state.emptyAfter && now > *state.emptyAfter) {
    violations_.add({"an_evacuated_zone_gets_nothing", replica,
                     millisecondsOf(now - *state.emptyAfter) + " ms after its limit"});
  }
  if (state.coldUntil && now <= *state.coldUntil && now >= ratesKnownFrom_) {
    checkCold(replica, *state.coldUntil - limit_.coldTime, now);
  }
}

void PlaceWatcher::checkCold(const std::string& replica, Instant takenBackAt, Instant now) {
  std::deque<Instant>& arrivals = coldArrivals_[replica];
  arrivals.push_back(now);
  while (now - arrivals.front() >= kWindow) {
    arrivals.pop_front();
  }
  if (arrivals.size() > limit_.mostRequests) {
    violations_.add({"a_cold_replica_gets_few_requests", replica,
                     std::to_string(arrivals.size()) + " requests in a second, " +
                         millisecondsOf(now - takenBackAt) + " ms after its zone was taken back"});
  }
}

}  // namespace gorsetrail::lab
