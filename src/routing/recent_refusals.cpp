#include "routing/recent_refusals.h"

namespace gorsetrail::routing {

void RecentRefusals::note(const std::string& program, Instant now) {
  refusedAt_[program] = now;
  order_.push_back({program, now});
  forgetOld(now);
}

bool RecentRefusals::contains(const std::string& program, Instant now) const {
  const auto found = refusedAt_.find(program);
  return found != refusedAt_.end() && now - found->second < knobs_.lifetime;
}

void RecentRefusals::forgetOld(Instant now) {
  while (!order_.empty() &&
         (now - order_.front().at >= knobs_.lifetime || order_.size() > knobs_.mostPrograms)) {
    const auto found = refusedAt_.find(order_.front().program);
    // A later refusal of the same program stands further behind.
    if (found != refusedAt_.end() && found->second == order_.front().at) {
      refusedAt_.erase(found);
    }
    order_.pop_front();
  }
}

}  // namespace gorsetrail::routing
