#include "quota/quota_message.h"

#include <cmath>
#include <utility>

#include "quota/generated/quota_message_generated.h"

namespace gorsetrail::quota {
namespace {

using Builder = flatbuffers::FlatBufferBuilder;

template <class Offset>
std::string finish(Builder& builder, fbs::Message type, Offset message) {
  fbs::FinishEnvelopeBuffer(builder, fbs::CreateEnvelope(builder, type, message.Union()));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

std::string encode(const LeaseRequest& request) {
  Builder builder;
  return finish(
      builder, fbs::Message::LendRequest,
      fbs::CreateLendRequest(builder, request.partition, request.round, request.hasQuorum));
}

std::string encode(const LeaseGrant& reply) {
  Builder builder;
  return finish(builder, fbs::Message::LendReply,
                fbs::CreateLendReply(builder, reply.partition, reply.round, reply.share));
}

std::string encode(const LeaseRelease& release) {
  Builder builder;
  return finish(builder, fbs::Message::LendEnd,
                fbs::CreateLendEnd(builder, release.partition, release.round));
}

std::string encode(const TokenRequest& request) {
  Builder builder;
  const auto tenant = builder.CreateString(request.tenant);
  return finish(
      builder, fbs::Message::TokenRequest,
      fbs::CreateTokenRequest(builder, request.requestId, tenant, request.tokensForStarted,
                              request.tokensForStarting, request.returned, request.grantor));
}

std::string encode(const TokenReply& reply) {
  Builder builder;
  const auto coordinator = reply.coordinator.empty() ? 0 : builder.CreateString(reply.coordinator);
  return finish(builder, fbs::Message::TokenReply,
                fbs::CreateTokenReply(builder, reply.requestId, reply.decided, reply.granted,
                                      reply.mayStartPrograms,
                                      static_cast<std::uint64_t>(reply.retryAfter.count()),
                                      static_cast<std::uint64_t>(reply.usableAfter.count()),
                                      reply.grantor, coordinator));
}

std::string encode(const HandOver& handOver) {
  Builder builder;
  std::vector<flatbuffers::Offset<fbs::HandedAccount>> accounts;
  for (const HandedAccount& account : handOver.accounts) {
    accounts.push_back(fbs::CreateHandedAccount(builder, builder.CreateString(account.tenant),
                                                account.level,
                                                builder.CreateVector(account.granted)));
  }
  const auto list = builder.CreateVector(accounts);
  return finish(
      builder, fbs::Message::HandOver,
      fbs::CreateHandOver(builder, handOver.partition, handOver.grantor, handOver.part, list));
}

Error invalidMessage() {
  return {ErrorKind::InvalidFrame, "quota message",
          "malformed quota message or a field out of range", "run the same version on every node"};
}

Result<QuotaMessage> readHandOver(const fbs::HandOver& read) {
  HandOver handOver{read.partition(), read.grantor(), read.part(), {}};
  if (read.accounts() == nullptr) {
    return QuotaMessage{std::move(handOver)};
  }
  for (const fbs::HandedAccount* const account : *read.accounts()) {
    if (!std::isfinite(account->level())) {
      return invalidMessage();
    }
    HandedAccount handed{account->tenant()->str(), account->level(), {}};
    if (account->granted() != nullptr) {
      handed.granted.assign(account->granted()->begin(), account->granted()->end());
    }
    handOver.accounts.push_back(std::move(handed));
  }
  return QuotaMessage{std::move(handOver)};
}

}  // namespace

std::string encodeQuotaMessage(const QuotaMessage& message) {
  return std::visit([](const auto& one) { return encode(one); }, message);
}

// The schema keeps older names: LendRequest, LendReply, LendEnd, number, holds_half, for_begun,
// for_beginning and is_ample.
Result<QuotaMessage> decodeQuotaMessage(std::string_view bytes) {
  const auto* const begin = reinterpret_cast<const std::uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(begin, bytes.size());
  if (!fbs::VerifyEnvelopeBuffer(verifier)) {
    return invalidMessage();
  }
  const fbs::Envelope* const envelope = fbs::GetEnvelope(begin);
  if (const auto* const read = envelope->message_as_LendRequest()) {
    return QuotaMessage{LeaseRequest{read->partition(), read->round(), read->holds_half()}};
  }
  if (const auto* const read = envelope->message_as_LendReply()) {
    const bool isShare = std::isfinite(read->share()) && read->share() >= 0 && read->share() <= 1;
    return isShare ? Result<QuotaMessage>(
                         QuotaMessage{LeaseGrant{read->partition(), read->round(), read->share()}})
                   : Result<QuotaMessage>(invalidMessage());
  }
  if (const auto* const read = envelope->message_as_LendEnd()) {
    return QuotaMessage{LeaseRelease{read->partition(), read->round()}};
  }
  if (const auto* const read = envelope->message_as_HandOver()) {
    return readHandOver(*read);
  }
  if (const auto* const read = envelope->message_as_TokenRequest()) {
    return QuotaMessage{TokenRequest{read->number(), read->tenant()->str(), read->for_begun(),
                                     read->for_beginning(), read->returned(), read->grantor()}};
  }
  if (const auto* const read = envelope->message_as_TokenReply()) {
    return QuotaMessage{
        TokenReply{read->number(), read->decided(), read->granted(), read->is_ample(),
                   Duration(static_cast<Duration::rep>(read->retry_after_us())),
                   Duration(static_cast<Duration::rep>(read->usable_after_us())), read->grantor(),
                   read->coordinator() == nullptr ? std::string() : read->coordinator()->str()}};
  }
  return invalidMessage();
}

}  // namespace gorsetrail::quota
