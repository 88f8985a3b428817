// Log lines of refusals that were decided elsewhere, with the figures that decided them.
#include "edge/exchange.h"

namespace gorsetrail::edge {

void Exchange::logReservationRefused(const ledger::ReservationReply& reply) {
  context_.log.important("reservation_refused",
                         {{"request", request_.requestId},
                          {"program", request_.programId},
                          {"previous_turn", request_.previousTurn},
                          {"reason", ledger::undecidedReasonName(reply.reason)},
                          {"partition", reply.partition},
                          {"replied_by", reply.repliedBy},
                          {"asked_tokens", request_.maximumTokens},
                          {"used_tokens", reply.tokensUsed},
                          {"unseen_tokens", reply.tokensUnseen},
                          {"unseen_leases", ledger::unseenSpendingName(reply.unseenLeases)},
                          {"budget", request_.tokenBudget.value_or(0)},
                          {"nodes", ledger::textOf(reply.asked)}});
}

}  // namespace gorsetrail::edge
