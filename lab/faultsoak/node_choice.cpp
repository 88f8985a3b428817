#include "lab/faultsoak/node_choice.h"

#include <algorithm>
#include <array>

namespace gorsetrail::lab {
namespace {

constexpr std::array<unsigned, 5> kNotRunStatuses = {402, 408, 421, 429, 503};
/// Answers after which no request is sent again, whatever it is.
constexpr std::array<unsigned, 6> kFinalStatuses = {400, 401, 402, 404, 413, 431};
constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirection = 300;

template <std::size_t Size>
bool holds(const std::array<unsigned, Size>& statuses, unsigned status) {
  return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

}  // namespace

std::size_t NodeChoice::next(bool connectionOpen, RandomSource& random) {
  if (current_ && connectionOpen && !avoidsCurrent_) {
    return *current_;
  }
  if (current_ && avoidsCurrent_ && nodes_ > 1) {
    const std::size_t step = 1 + random.below(nodes_ - 1);
    current_ = (*current_ + step) % nodes_;
  } else {
    current_ = random.below(nodes_);
  }
  avoidsCurrent_ = false;
  return *current_;
}

bool promisesNotRun(unsigned status) { return holds(kNotRunStatuses, status); }

bool maySendAgain(SoakRoute route, const SoakAnswer& answer) {
  const bool success = answer.status >= kFirstSuccess && answer.status < kFirstRedirection;
  if (success || holds(kFinalStatuses, answer.status)) {
    return false;
  }
  const bool repeatable = route == SoakRoute::Safe || route == SoakRoute::Resumable;
  return repeatable || answer.notSent || promisesNotRun(answer.status);
}

}  // namespace gorsetrail::lab
