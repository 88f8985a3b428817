#include "ledger/facts.h"

#include "ledger/generated/ledger_record_generated.h"

namespace gorsetrail::ledger {
namespace {

using Builder = flatbuffers::FlatBufferBuilder;

flatbuffers::Offset<void> build(Builder& builder, const CompletedTurn& turn) {
  const auto base = turn.base.empty() ? 0 : builder.CreateString(turn.base);
  return fbs::CreateCompletedTurn(builder, builder.CreateString(turn.request), base,
                                  builder.CreateString(turn.history))
      .Union();
}

flatbuffers::Offset<void> build(Builder& builder, const BudgetReservation& reservation) {
  return fbs::CreateBudgetReservation(builder, builder.CreateString(reservation.request),
                                      builder.CreateString(reservation.program), reservation.tokens)
      .Union();
}

flatbuffers::Offset<void> build(Builder& builder, const BudgetSettlement& settlement) {
  return fbs::CreateBudgetSettlement(builder, builder.CreateString(settlement.request),
                                     builder.CreateString(settlement.program), settlement.tokens)
      .Union();
}

flatbuffers::Offset<void> build(Builder& builder, const BudgetLease& lease) {
  const auto id = builder.CreateString(lease.lease);
  const auto holder = builder.CreateString(lease.holder);
  flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<fbs::LeaseWitness>>> witnesses;
  if (!lease.witnesses.empty()) {
    std::vector<flatbuffers::Offset<fbs::LeaseWitness>> encoded;
    for (const WitnessProcess& witness : lease.witnesses) {
      const auto address = builder.CreateString(witness.address);
      encoded.push_back(
          fbs::CreateLeaseWitness(builder, address, builder.CreateString(witness.incarnation)));
    }
    witnesses = builder.CreateVector(encoded);
  }
  return fbs::CreateBudgetLease(builder, id, holder,
                                static_cast<fbs::BudgetLeaseState>(lease.state), lease.renewal,
                                static_cast<fbs::BudgetLeaseSlot>(lease.slot), witnesses)
      .Union();
}

fbs::Fact typeOf(const CompletedTurn& /*turn*/) { return fbs::Fact::CompletedTurn; }
fbs::Fact typeOf(const BudgetReservation& /*fact*/) { return fbs::Fact::BudgetReservation; }
fbs::Fact typeOf(const BudgetSettlement& /*fact*/) { return fbs::Fact::BudgetSettlement; }
fbs::Fact typeOf(const BudgetLease& /*fact*/) { return fbs::Fact::BudgetLease; }

std::vector<WitnessProcess> witnessesOf(const fbs::BudgetLease& lease) {
  std::vector<WitnessProcess> witnesses;
  if (lease.witnesses() != nullptr) {
    for (const fbs::LeaseWitness* const witness : *lease.witnesses()) {
      witnesses.push_back({witness->address()->str(), witness->incarnation()->str()});
    }
  }
  return witnesses;
}

Error invalidRecord() {
  return {ErrorKind::InvalidFrame, "ledger record", "the bytes are not a valid ledger record",
          "skip the record; check whether another program writes to this topic"};
}

}  // namespace

std::string encodeFact(const Fact& fact) {
  Builder builder;
  const auto type = std::visit([](const auto& value) { return typeOf(value); }, fact);
  const auto body = std::visit([&](const auto& value) { return build(builder, value); }, fact);
  fbs::FinishLedgerRecordBuffer(builder, fbs::CreateLedgerRecord(builder, type, body));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

Result<Fact> decodeFact(std::string_view record) {
  const auto* const bytes = reinterpret_cast<const std::uint8_t*>(record.data());
  flatbuffers::Verifier verifier(bytes, record.size());
  if (!fbs::VerifyLedgerRecordBuffer(verifier)) {
    return invalidRecord();
  }
  const fbs::LedgerRecord* const decoded = fbs::GetLedgerRecord(bytes);
  if (const auto* const turn = decoded->fact_as_CompletedTurn()) {
    return Fact{CompletedTurn{turn->request()->str(),
                              turn->base() == nullptr ? std::string() : turn->base()->str(),
                              turn->history()->str()}};
  }
  if (const auto* const reservation = decoded->fact_as_BudgetReservation()) {
    return Fact{BudgetReservation{reservation->request()->str(), reservation->program()->str(),
                                  reservation->tokens()}};
  }
  if (const auto* const settlement = decoded->fact_as_BudgetSettlement()) {
    return Fact{BudgetSettlement{settlement->request()->str(), settlement->program()->str(),
                                 settlement->tokens()}};
  }
  const auto* const lease = decoded->fact_as_BudgetLease();
  if (lease != nullptr && lease->state() <= fbs::BudgetLeaseState::MAX &&
      lease->slot() <= fbs::BudgetLeaseSlot::MAX) {
    return Fact{BudgetLease{lease->lease()->str(), lease->holder()->str(),
                            static_cast<BudgetLeaseState>(lease->state()), lease->renewal(),
                            static_cast<BudgetLeaseSlot>(lease->slot()), witnessesOf(*lease)}};
  }
  return invalidRecord();
}

}  // namespace gorsetrail::ledger
