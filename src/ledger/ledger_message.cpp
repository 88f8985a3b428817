#include "ledger/ledger_message.h"

#include <algorithm>
#include <optional>

#include "ledger/generated/ledger_call_generated.h"

namespace gorsetrail::ledger {
namespace {

using Builder = flatbuffers::FlatBufferBuilder;
using TextOffset = flatbuffers::Offset<flatbuffers::String>;

TextOffset optionalText(Builder& builder, const std::string& text) {
  return text.empty() ? TextOffset() : builder.CreateString(text);
}

std::string textOf(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

std::uint64_t microsecondsOf(Duration span) { return static_cast<std::uint64_t>(span.count()); }
Duration spanOf(std::uint64_t microseconds) {
  return Duration(static_cast<Duration::rep>(microseconds));
}

std::string finish(Builder& builder, fbs::CallMessage type, flatbuffers::Offset<void> message) {
  fbs::FinishCallEnvelopeBuffer(builder, fbs::CreateCallEnvelope(builder, type, message));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

std::string encode(const FindTurnRequest& request) {
  Builder builder;
  const auto call = fbs::CreateFindTurnCall(builder, builder.CreateString(request.placement.zone),
                                            builder.CreateString(request.turn),
                                            request.placement.choice, request.placement.confined);
  return finish(builder, fbs::CallMessage::FindTurnCall, call.Union());
}

std::string encode(const StoreTurnRequest& request) {
  Builder builder;
  const auto zone = builder.CreateString(request.placement.zone);
  const auto turn = builder.CreateString(request.record.request);
  const auto base = optionalText(builder, request.record.base);
  const auto history = builder.CreateString(request.record.history);
  const auto call = fbs::CreateStoreTurnCall(builder, zone, turn, base, history,
                                             microsecondsOf(request.timeLimit),
                                             request.placement.choice, request.placement.confined);
  return finish(builder, fbs::CallMessage::StoreTurnCall, call.Union());
}

std::string encode(const ReserveRequest& request) {
  Builder builder;
  const BudgetReservation& reservation = request.budget.reservation;
  const std::optional<Duration>& timeLeft = request.budget.programTimeLeft;
  const auto id = builder.CreateString(reservation.request);
  const auto program = builder.CreateString(reservation.program);
  const auto call = fbs::CreateReserveCall(
      builder, id, program, reservation.tokens, request.budget.budget,
      microsecondsOf(request.timeLimit), timeLeft.has_value(),
      microsecondsOf(std::max(Duration::zero(), timeLeft.value_or(Duration::zero()))));
  return finish(builder, fbs::CallMessage::ReserveCall, call.Union());
}

std::string encode(const SettleRequest& request) {
  Builder builder;
  const auto id = builder.CreateString(request.settlement.request);
  const auto program = builder.CreateString(request.settlement.program);
  const auto call = fbs::CreateSettleCall(builder, id, program, request.settlement.tokens);
  return finish(builder, fbs::CallMessage::SettleCall, call.Union());
}

using GrantOffsets = std::vector<flatbuffers::Offset<fbs::LeaseGrant>>;

GrantOffsets encodeGrants(Builder& builder, const std::vector<LeaseGrant>& grants) {
  GrantOffsets encoded;
  for (const LeaseGrant& grant : grants) {
    const auto request = builder.CreateString(grant.reservation.request);
    const auto program = builder.CreateString(grant.reservation.program);
    encoded.push_back(
        fbs::CreateLeaseGrant(builder, request, program, grant.reservation.tokens, grant.number));
  }
  return encoded;
}

std::vector<LeaseGrant> grantsOf(
    const flatbuffers::Vector<flatbuffers::Offset<fbs::LeaseGrant>>* read) {
  std::vector<LeaseGrant> grants;
  if (read != nullptr) {
    for (const fbs::LeaseGrant* const grant : *read) {
      grants.push_back(
          {{grant->request()->str(), grant->program()->str(), grant->tokens()}, grant->number()});
    }
  }
  return grants;
}

std::string encode(const StoreGrantsRequest& request) {
  Builder builder;
  const auto lease = builder.CreateString(request.lease);
  const auto incarnation = optionalText(builder, request.incarnation);
  const auto grants = builder.CreateVector(encodeGrants(builder, request.grants));
  const auto call =
      fbs::CreateStoreGrantsCall(builder, lease, incarnation, grants, request.recordedBelow);
  return finish(builder, fbs::CallMessage::StoreGrantsCall, call.Union());
}

std::string encode(const SealLeaseRequest& request) {
  Builder builder;
  const auto lease = builder.CreateString(request.lease);
  const auto call =
      fbs::CreateSealLeaseCall(builder, lease, builder.CreateString(request.incarnation));
  return finish(builder, fbs::CallMessage::SealLeaseCall, call.Union());
}

/// \return the verified envelope, or null; valid as long as `bytes`.
const fbs::CallEnvelope* verified(std::string_view bytes) {
  const auto* const begin = reinterpret_cast<const std::uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(begin, bytes.size());
  return fbs::VerifyCallEnvelopeBuffer(verifier) ? fbs::GetCallEnvelope(begin) : nullptr;
}

Error invalidMessage(const char* what) {
  return {ErrorKind::InvalidFrame, what, "the bytes are not a valid message of this type",
          "run the same version on every node"};
}

LedgerRequest requestOf(const fbs::FindTurnCall& call) {
  return FindTurnRequest{{call.zone()->str(), call.choice(), call.confined()}, call.turn()->str()};
}

LedgerRequest requestOf(const fbs::StoreTurnCall& call) {
  CompletedTurn record{call.turn()->str(), textOf(call.base()), call.history()->str()};
  return StoreTurnRequest{{call.zone()->str(), call.choice(), call.confined()},
                          std::move(record),
                          spanOf(call.time_limit_us())};
}

LedgerRequest requestOf(const fbs::ReserveCall& call) {
  BudgetReservation reservation{call.request()->str(), call.program()->str(), call.tokens()};
  BudgetRequest request{std::move(reservation), call.budget(), std::nullopt};
  if (call.program_time_known()) {
    request.programTimeLeft = spanOf(call.program_time_left_us());
  }
  return ReserveRequest{std::move(request), spanOf(call.time_limit_us())};
}

LedgerRequest requestOf(const fbs::SettleCall& call) {
  return SettleRequest{{call.request()->str(), call.program()->str(), call.tokens()}};
}

LedgerRequest requestOf(const fbs::StoreGrantsCall& call) {
  return StoreGrantsRequest{call.lease()->str(), textOf(call.incarnation()),
                            grantsOf(call.grants()), call.recorded_below()};
}

LedgerRequest requestOf(const fbs::SealLeaseCall& call) {
  return SealLeaseRequest{call.lease()->str(), call.incarnation()->str()};
}

}  // namespace

std::string encodeLedgerRequest(const LedgerRequest& request) {
  return std::visit([](const auto& call) { return encode(call); }, request);
}

Result<LedgerRequest> decodeLedgerRequest(std::string_view bytes) {
  const fbs::CallEnvelope* const envelope = verified(bytes);
  const fbs::CallMessage type =
      envelope == nullptr ? fbs::CallMessage::NONE : envelope->message_type();
  switch (type) {
    case fbs::CallMessage::FindTurnCall:
      return requestOf(*envelope->message_as_FindTurnCall());
    case fbs::CallMessage::StoreTurnCall:
      return requestOf(*envelope->message_as_StoreTurnCall());
    case fbs::CallMessage::ReserveCall:
      return requestOf(*envelope->message_as_ReserveCall());
    case fbs::CallMessage::SettleCall:
      return requestOf(*envelope->message_as_SettleCall());
    case fbs::CallMessage::StoreGrantsCall:
      return requestOf(*envelope->message_as_StoreGrantsCall());
    case fbs::CallMessage::SealLeaseCall:
      return requestOf(*envelope->message_as_SealLeaseCall());
    case fbs::CallMessage::CallReply:
    case fbs::CallMessage::NONE:
      break;
  }
  return invalidMessage("ledger call");
}

std::string encodeLedgerReply(const LedgerReply& reply) {
  Builder builder;
  const auto base = optionalText(builder, reply.base);
  const auto history = optionalText(builder, reply.history);
  const auto reason = optionalText(builder, reply.reason);
  const auto incarnation = optionalText(builder, reply.incarnation);
  const auto grantedUnder = optionalText(builder, reply.grantedUnder);
  flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<fbs::LeaseGrant>>> grants;
  if (!reply.grants.empty()) {
    grants = builder.CreateVector(encodeGrants(builder, reply.grants));
  }
  const auto message = fbs::CreateCallReply(
      builder, static_cast<fbs::CallOutcome>(reply.outcome), base, history, reply.tokensUsed,
      reason, reply.canDecideReservations, static_cast<fbs::UndecidedReason>(reply.undecided),
      static_cast<fbs::UnseenLeases>(reply.unseenLeases), reply.tokensUnseen, reply.tokensUnsettled,
      incarnation, grants, grantedUnder);
  return finish(builder, fbs::CallMessage::CallReply, message.Union());
}

Result<LedgerReply> decodeLedgerReply(std::string_view bytes) {
  const fbs::CallEnvelope* const envelope = verified(bytes);
  const fbs::CallReply* const read =
      envelope == nullptr ? nullptr : envelope->message_as_CallReply();
  if (read == nullptr || read->outcome() > fbs::CallOutcome::MAX) {
    return invalidMessage("ledger reply");
  }
  LedgerReply reply;
  reply.outcome = static_cast<LedgerOutcome>(read->outcome());
  reply.base = textOf(read->base());
  reply.history = textOf(read->history());
  reply.tokensUsed = read->tokens_used();
  reply.reason = textOf(read->reason());
  reply.canDecideReservations = read->decides_reservations();
  // A newer node may send values that this version does not know; the defaults stay then.
  if (read->undecided() <= fbs::UndecidedReason::MAX) {
    reply.undecided = static_cast<UndecidedReason>(read->undecided());
  }
  if (read->unseen_leases() <= fbs::UnseenLeases::MAX) {
    reply.unseenLeases = static_cast<UnrecordedSpending>(read->unseen_leases());
  }
  reply.tokensUnseen = read->tokens_unseen();
  reply.tokensUnsettled = read->tokens_unsettled();
  reply.incarnation = textOf(read->incarnation());
  reply.grants = grantsOf(read->grants());
  reply.grantedUnder = textOf(read->granted_under());
  return reply;
}

}  // namespace gorsetrail::ledger
