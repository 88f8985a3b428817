/// \file Limits dispatches after refusals by replicas. Policy only: no I/O, no clock.
#pragma once

#include "base/time.h"

namespace gorsetrail::routing {

/// Settings of `RetryBudget`.
struct RetryBudgetKnobs {
  /// Dispatches after refusals add at most a tenth to the work that replicas complete.
  double tokensPerAnswer = 0.1;
  /// Lets a node retry that completes too little for tokens of its own. 67 such nodes together add
  /// 13 dispatches per second, 2% of 700 turns per second that a service of that size completes.
  double minimumTokensPerSecond = 0.2;
  /// Tokens of a node that starts: a request that two replicas refuse can still go to a third.
  double minimumTokens = 2;
  /// Saved tokens are limited to those of this time, so that a long time without refusals does not
  /// pay for a burst of retries in the next overload.
  Duration savingTime = seconds(3);
};

/// Token bucket for the retries of one service at one node: answered requests add tokens, each
/// dispatch after a refusal by a replica takes one.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetKnobs knobs) : knobs_(knobs), tokens_(knobs.minimumTokens) {}

  /// \param answeredPerSecond this node's rate of answered requests.
  void onAnswered(double answeredPerSecond, Instant now);
  /// Takes a token.
  /// \return false if there is none: the request must not be dispatched again.
  [[nodiscard]] bool takeToken(Instant now);

 private:
  void addMinimum(Instant now);

  RetryBudgetKnobs knobs_;
  double tokens_;
  Instant updatedAt_{};
};

}  // namespace gorsetrail::routing
