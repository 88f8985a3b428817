#include "program/budget_ledger.h"

namespace gorsetrail::program {
namespace {

Error exceeded(const char* limit, std::uint64_t allowed) {
  return Error{ErrorKind::BudgetExceeded, limit,
               "the program's limit of " + std::to_string(allowed) +
                   " does not leave room for "
                   "the worst case of this call",
               "ask for fewer max_tokens or a shorter time limit, close the program and open a new "
               "one, or have the operators raise the tenant's budget in the bundle",
               RunOutcome::NotRun};
}

}  // namespace

Result<Success> BudgetLedger::reserve(const BudgetReservation& worstCase) {
  if (limits_.calls != 0 && calls_ + 1 > limits_.calls) {
    return exceeded("calls_per_program", limits_.calls);
  }
  if (limits_.tokens != 0 && tokensUsed_ + tokensReserved_ + worstCase.tokens > limits_.tokens) {
    return exceeded("tokens_per_program", limits_.tokens);
  }
  if (limits_.seconds != 0 &&
      timeUsed_ + timeReserved_ + worstCase.time > seconds(limits_.seconds)) {
    return exceeded("seconds_per_program", limits_.seconds);
  }
  adopt(worstCase);
  return Success{};
}

void BudgetLedger::adopt(const BudgetReservation& worstCase) {
  ++calls_;
  tokensReserved_ += worstCase.tokens;
  timeReserved_ += worstCase.time;
}

void BudgetLedger::settle(const BudgetReservation& worstCase, const OutcomeEntry& outcome) {
  tokensReserved_ -= worstCase.tokens;
  timeReserved_ -= worstCase.time;
  if (outcome.status == CallStatus::NotRun) {
    --calls_;
    return;
  }
  tokensUsed_ += outcome.usedTokens;
  timeUsed_ += milliseconds(outcome.usedMilliseconds);
}

}  // namespace gorsetrail::program
