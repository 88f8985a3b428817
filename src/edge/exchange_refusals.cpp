// Part of `Exchange`: logs refusals with the figures that led to them.
#include <algorithm>
#include <string>

#include "edge/exchange.h"
#include "edge/exchange_shared.h"
#include "ledger/ledger_partitions.h"

namespace gorsetrail::edge {
namespace {

/// Most log lines of one refused history lookup. The most likely partitions are searched first, so
/// that later ones add little information.
constexpr std::size_t kMaximumLoggedPartitions = ledger::kTurnChoices;

constexpr std::string_view kTenantAboveShare = "tenant_above_share";

std::uint64_t percentOf(double share) {
  constexpr double kPercent = 100.0;
  return static_cast<std::uint64_t>(share * kPercent);
}

}  // namespace

Duration Exchange::retryDelay(Duration fixedDelay) {
  // Only a streaming request can be the first of its program; tools are called later.
  const bool isToolCall = !isStreaming() && !request_.programId.empty();
  const routing::WorkStage known = stage();
  const routing::WorkStage stage =
      isToolCall && known == routing::WorkStage::FirstTurn ? routing::WorkStage::Continuing : known;
  const routing::RefusedCaller caller{routing::returnClassOf(stage, checked_.priority), timeLeft()};
  return context_.retryControl.assignDelay(checked_.service, caller, context_.clock())
      .value_or(fixedDelay);
}

void Exchange::onReplicasFull(bool retryWithheld) {
  const Duration retryAfter = retryDelay(context_.knobs.retryAfterFull);
  if (retryWithheld) {
    context_.log.logRefusal("retry_withheld", {request_.programId, "replicas_full"},
                            {{"request", request_.requestId},
                             {"program", request_.programId},
                             {"service", checked_.service},
                             {"dispatches", dispatchNumber_},
                             {"retry_ms", wholeMilliseconds(retryAfter)}});
  }
  refuse({kUnavailable, "replicas_full", retryAfter});
}

void Exchange::refuseAboveTenantShare(const routing::TenantShare& use) {
  ++context_.counters.tenantShareRefusals;
  const Duration retryAfter = retryDelay(context_.knobs.retryAfterOverload);
  context_.log.logRefusal("tenant_share_refused", {request_.programId, kTenantAboveShare},
                          {{"request", request_.requestId},
                           {"program", request_.programId},
                           {"tenant", checked_.tenantName()},
                           {"service", checked_.service},
                           {"stage", routing::workStageName(stage())},
                           {"load", tenthsOf(use.load)},
                           {"share", shareTextOf(use)},
                           {"admitted_percent", percentOf(use.admitted)},
                           {"retry_ms", wholeMilliseconds(retryAfter)}});
  refuse({kUnavailable, std::string(kTenantAboveShare), retryAfter});
}

void Exchange::onReplicasBusy(const routing::RefusedByAdmission& refused) {
  const auto limit = tenantLimit();
  if (limit && stage() == routing::WorkStage::Continuing) {
    refuseAboveTenantShare(*limit);
    return;
  }
  const Duration retryAfter = retryDelay(context_.knobs.retryAfterOverload);
  context_.log.logRefusal("placement_refused", {request_.programId, "replicas_busy"},
                          {{"request", request_.requestId},
                           {"program", request_.programId},
                           {"stage", routing::workStageName(stage())},
                           {"priority", std::uint64_t{checked_.priority}},
                           {"prompt_tokens", request_.promptTokens},
                           {"replica", refused.cheapestReplica->entry.id},
                           {"load_percent", percentOf(refused.cheapestReplica->timeLoadPerSlot())},
                           {"least_load_percent", percentOf(refused.leastLoadPerSlot)},
                           {"retry_ms", wholeMilliseconds(retryAfter)}});
  refuse({kUnavailable, "replicas_busy", retryAfter});
}

void Exchange::onProgramNotAdmitted(const routing::ProgramNotAdmitted& refused) {
  const Duration retryAfter = retryDelay(context_.knobs.retryAfterOverload);
  context_.log.logRefusal(
      "placement_refused", {request_.programId, "program_not_admitted"},
      {{"request", request_.requestId},
       {"program", request_.programId},
       {"reason", "program_not_admitted"},
       {"service", checked_.service},
       {"priority", std::uint64_t{checked_.priority}},
       {"limit_percent", percentOf(refused.limit)},
       {"service_load_percent", percentOf(refused.load)},
       {"decided_by", routing::programRefusalCauseName(refused.cause)},
       {"reporting_nodes", std::uint64_t{context_.programAdmission->reportingNodes()}},
       {"retry_ms", wholeMilliseconds(retryAfter)}});
  refuse({kUnavailable, "program_not_admitted", retryAfter});
}

void Exchange::logQuotaUnknown(const quota::QuotaDecision& decision) {
  const quota::QuotaTrace trace = decision.trace.value_or(quota::QuotaTrace{});
  const std::string answerAge =
      trace.lastReplyAge ? std::to_string(wholeMilliseconds(*trace.lastReplyAge)) : std::string();
  context_.log.logRefusal("quota_unknown", {request_.programId, "quota_unknown"},
                          {{"request", request_.requestId},
                           {"program", request_.programId},
                           {"tenant", checked_.tenantName()},
                           {"partition", std::uint64_t{trace.partition}},
                           {"coordinator", trace.coordinator},
                           {"last_answer_by", trace.lastReplyFrom},
                           {"last_answer_ms", answerAge},
                           {"last_answer_decided", std::uint64_t{trace.lastReplyDecided}},
                           {"waited_ms", wholeMilliseconds(trace.waited)}});
}

void Exchange::logHistoryRefused(const ledger::LedgerUnavailable& unavailable) {
  const std::size_t logged = std::min(unavailable.unread.size(), kMaximumLoggedPartitions);
  for (std::size_t index = 0; index < logged; ++index) {
    const ledger::UnreadPartition& unread = unavailable.unread[index];
    context_.log.logRefusal("history_refused", {request_.programId, unread.reason},
                            {{"request", request_.requestId},
                             {"program", request_.programId},
                             {"previous_turn", request_.previousTurnId},
                             {"reason", unread.reason},
                             {"partition", unread.partition},
                             {"choice", std::uint64_t{unread.choice}},
                             {"unread_partitions", std::uint64_t{unavailable.unread.size()}},
                             {"nodes", ledger::textOf(unread.asked)},
                             {"coordinator_lives", std::uint64_t{unread.coordinatorLives}}});
  }
}

void Exchange::logReservationRefused(const ledger::ReservationReply& reply) {
  context_.log.logRefusal("reservation_refused",
                          {request_.programId, ledger::undecidedReasonName(reply.reason)},
                          {{"request", request_.requestId},
                           {"program", request_.programId},
                           {"previous_turn", request_.previousTurnId},
                           {"reason", ledger::undecidedReasonName(reply.reason)},
                           {"partition", reply.partition},
                           {"replied_by", reply.repliedBy},
                           {"asked_tokens", request_.maximumTokens},
                           {"used_tokens", reply.tokensUsed},
                           {"unsettled_tokens", reply.tokensUnsettled},
                           {"unseen_tokens", reply.tokensUnseen},
                           {"unseen_leases", ledger::unrecordedSpendingName(reply.unseenLeases)},
                           {"budget", request_.tokenBudget.value_or(0)},
                           {"nodes", ledger::textOf(reply.asked)}});
}

}  // namespace gorsetrail::edge
