#include "edge/stream_origin_message.h"

#include <algorithm>

#include "edge/generated/stream_origin_generated.h"

namespace gorsetrail::edge {
namespace {

using Builder = flatbuffers::FlatBufferBuilder;

template <class Offset>
std::string finish(Builder& builder, fbs::OriginMessage type, Offset message) {
  fbs::FinishOriginEnvelopeBuffer(builder,
                                  fbs::CreateOriginEnvelope(builder, type, message.Union()));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

fbs::StreamId structOf(const routing::StreamId& stream) { return {stream.high, stream.low}; }

routing::StreamId streamOf(const fbs::StreamId& read) { return {read.high(), read.low()}; }

std::string textOf(const flatbuffers::String* read) {
  return read == nullptr ? std::string() : read->str();
}

std::string encode(const OriginRecord& record) {
  Builder builder;
  const fbs::StreamId stream = structOf(record.stream);
  const auto service = builder.CreateString(record.origin.service);
  const auto version = builder.CreateString(record.origin.softwareVersion);
  const auto keepMilliseconds =
      std::clamp<Duration::rep>(record.keepFor / milliseconds(1), 0, UINT32_MAX);
  return finish(builder, fbs::OriginMessage::OriginRecord,
                fbs::CreateOriginRecord(builder, &stream, service, version,
                                        static_cast<std::uint32_t>(keepMilliseconds)));
}

std::string encode(const OriginQuery& query) {
  Builder builder;
  const fbs::StreamId stream = structOf(query.stream);
  return finish(builder, fbs::OriginMessage::OriginQuery,
                fbs::CreateOriginQuery(builder, query.number, &stream));
}

std::string encode(const OriginReply& reply) {
  Builder builder;
  if (const auto* const origin = std::get_if<routing::StreamOrigin>(&reply.state)) {
    const auto service = builder.CreateString(origin->service);
    const auto version = builder.CreateString(origin->softwareVersion);
    return finish(builder, fbs::OriginMessage::OriginReply,
                  fbs::CreateOriginReply(builder, reply.number, fbs::OriginKnowledge::Known,
                                         service, version));
  }
  const auto knowledge = std::holds_alternative<routing::ConflictingOrigin>(reply.state)
                             ? fbs::OriginKnowledge::Conflicting
                             : fbs::OriginKnowledge::Unknown;
  return finish(builder, fbs::OriginMessage::OriginReply,
                fbs::CreateOriginReply(builder, reply.number, knowledge));
}

OriginReply readReply(const fbs::OriginReply& read) {
  switch (read.knowledge()) {
    case fbs::OriginKnowledge::Known:
      return {read.number(),
              routing::StreamOrigin{textOf(read.service()), textOf(read.software_version())}};
    case fbs::OriginKnowledge::Conflicting:
      return {read.number(), routing::ConflictingOrigin{}};
    case fbs::OriginKnowledge::Unknown:
      break;
  }
  // Also for values of later builds: a stream of unknown origin is not continued.
  return {read.number(), routing::UnknownOrigin{}};
}

}  // namespace

std::string encodeOriginMessage(const OriginMessage& message) {
  return std::visit([](const auto& one) { return encode(one); }, message);
}

Result<OriginMessage> decodeOriginMessage(std::string_view bytes) {
  const auto* const begin = reinterpret_cast<const std::uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(begin, bytes.size());
  if (fbs::VerifyOriginEnvelopeBuffer(verifier)) {
    const fbs::OriginEnvelope* const read = fbs::GetOriginEnvelope(begin);
    if (const auto* const record = read->message_as_OriginRecord()) {
      return OriginMessage{
          OriginRecord{streamOf(*record->stream()),
                       {textOf(record->service()), textOf(record->software_version())},
                       milliseconds(record->keep_ms())}};
    }
    if (const auto* const query = read->message_as_OriginQuery()) {
      return OriginMessage{OriginQuery{query->number(), streamOf(*query->stream())}};
    }
    if (const auto* const reply = read->message_as_OriginReply()) {
      return OriginMessage{readReply(*reply)};
    }
  }
  return Error{ErrorKind::InvalidFrame, "stream origin message",
               "the bytes are not a message that this build knows",
               "run the same version on every node"};
}

}  // namespace gorsetrail::edge
