#include "membership/membership_codec.h"

#include <optional>
#include <vector>

#include "membership/generated/membership_message_generated.h"

namespace gorsetrail::membership {
namespace {

Error decodeError(const std::string& reason) {
  return Error{ErrorKind::InvalidFrame, "membership message", reason,
               "run the same version on every node"};
}

fbs::MessageKind kindOf(const MembershipMessage& message) {
  if (std::holds_alternative<ProbeRequest>(message)) {
    return fbs::MessageKind::ProbeRequest;
  }
  return std::holds_alternative<ProbeReply>(message) ? fbs::MessageKind::ProbeReply
                                                     : fbs::MessageKind::IndirectProbeRequest;
}

std::vector<fbs::Belief> encodeUpdates(const Piggyback& piggyback) {
  std::vector<fbs::Belief> beliefs;
  beliefs.reserve(piggyback.updates.size());
  for (const MemberUpdate& update : piggyback.updates) {
    beliefs.emplace_back(update.incarnation.value(), update.node.value(), update.refutation,
                         static_cast<std::uint8_t>(update.state));
  }
  return beliefs;
}

/// \return nothing if a member state is unknown.
std::optional<Piggyback> readPiggyback(const fbs::Message& message) {
  Piggyback piggyback;
  piggyback.senderIncarnation = Incarnation(message.sender_incarnation());
  if (message.beliefs() == nullptr) {
    return piggyback;
  }
  for (const fbs::Belief* const belief : *message.beliefs()) {
    if (belief->state() > static_cast<std::uint8_t>(MemberState::Terminated)) {
      return std::nullopt;
    }
    piggyback.updates.push_back({NodeId(belief->node()), Incarnation(belief->incarnation()),
                                 static_cast<MemberState>(belief->state()), belief->refutation()});
  }
  return piggyback;
}

}  // namespace

std::string encodeMembershipMessage(const MembershipMessage& message) {
  flatbuffers::FlatBufferBuilder builder;
  const auto* const indirect = std::get_if<IndirectProbeRequest>(&message);
  const std::uint32_t target = indirect == nullptr ? 0 : indirect->target.value();
  std::visit(
      [&](const auto& content) {
        const auto beliefs = builder.CreateVectorOfStructs(encodeUpdates(content.piggyback));
        fbs::FinishMessageBuffer(
            builder, fbs::CreateMessage(builder, kindOf(message), content.probe, target,
                                        content.piggyback.senderIncarnation.value(), beliefs));
      },
      message);
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

Result<MembershipMessage> decodeMembershipMessage(std::string_view bytes) {
  const auto* const begin = reinterpret_cast<const std::uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(begin, bytes.size());
  if (!fbs::VerifyMessageBuffer(verifier)) {
    return decodeError("malformed membership message");
  }
  const fbs::Message* const read = fbs::GetMessage(begin);
  std::optional<Piggyback> piggyback = readPiggyback(*read);
  if (!piggyback) {
    return decodeError("unknown member state");
  }
  switch (read->kind()) {
    case fbs::MessageKind::ProbeRequest:
      return MembershipMessage(ProbeRequest{read->probe(), std::move(*piggyback)});
    case fbs::MessageKind::ProbeReply:
      return MembershipMessage(ProbeReply{read->probe(), std::move(*piggyback)});
    case fbs::MessageKind::IndirectProbeRequest:
      return MembershipMessage(
          IndirectProbeRequest{read->probe(), NodeId(read->target()), std::move(*piggyback)});
  }
  return decodeError("unknown message kind");
}

}  // namespace gorsetrail::membership
