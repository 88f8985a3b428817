#include "routing/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace gorsetrail::routing {

void RetryBudget::addMinimum(Instant now) {
  const double elapsed = std::chrono::duration<double>(now - updatedAt_).count();
  updatedAt_ = now;
  if (tokens_ < knobs_.minimumTokens) {
    const double added = std::max(0.0, elapsed) * knobs_.minimumTokensPerSecond;
    tokens_ = std::min(knobs_.minimumTokens, tokens_ + added);
  }
}

void RetryBudget::onAnswered(double answeredPerSecond, Instant now) {
  addMinimum(now);
  const double saved = answeredPerSecond * knobs_.tokensPerAnswer *
                       std::chrono::duration<double>(knobs_.savingTime).count();
  tokens_ = std::min(std::max(knobs_.minimumTokens, saved), tokens_ + knobs_.tokensPerAnswer);
}

bool RetryBudget::takeToken(Instant now) {
  addMinimum(now);
  // Ten tenths of a token add up to slightly less than one.
  constexpr double kRoundingError = 1e-6;
  if (tokens_ < 1.0 - kRoundingError) {
    return false;
  }
  tokens_ = std::max(0.0, tokens_ - 1.0);
  return true;
}

}  // namespace gorsetrail::routing
