#include "edge/request_record_message.h"

#include <algorithm>

#include "edge/generated/request_record_generated.h"

namespace gorsetrail::edge {
namespace {

using Builder = flatbuffers::FlatBufferBuilder;

/// Histories and runs of one message. Larger messages are not from this protocol.
constexpr std::size_t kMaximumHistories = 256;
constexpr std::size_t kMaximumRuns = 64;

template <class Offset>
std::string finish(Builder& builder, fbs::RequestRecordMessage type, Offset message) {
  fbs::FinishRequestRecordEnvelopeBuffer(
      builder, fbs::CreateRequestRecordEnvelope(builder, type, message.Union()));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

fbs::RequestKey structOf(const routing::RequestKey& key) { return {key.high, key.low}; }

routing::RequestKey keyOf(const fbs::RequestKey& read) { return {read.high(), read.low()}; }

std::string textOf(const flatbuffers::String* read) {
  return read == nullptr ? std::string() : read->str();
}

std::uint32_t wireMilliseconds(Duration span) {
  return static_cast<std::uint32_t>(
      std::clamp<Duration::rep>(span / milliseconds(1), 0, UINT32_MAX));
}

// One byte, so that a datagram with one run takes 200 bytes at most.
constexpr Duration kSentBeforeUnit = milliseconds(20);

std::uint8_t wireSentBefore(const routing::ReplicaRun& run) {
  if (!run.sentAt || *run.sentAt > run.at) {
    return 0;
  }
  const Duration::rep units = (run.at - *run.sentAt) / kSentBeforeUnit + 1;
  return units <= UINT8_MAX ? static_cast<std::uint8_t>(units) : 0;
}

std::optional<Instant> readSentAt(std::uint8_t units, Instant at) {
  return units == 0 ? std::nullopt : std::optional(at - kSentBeforeUnit * (units - 1));
}

std::string encode(const OriginRecord& record, Instant /*now*/) {
  Builder builder;
  const fbs::RequestKey stream = structOf(record.stream);
  const auto service = builder.CreateString(record.origin.service);
  const auto version = builder.CreateString(record.origin.softwareVersion);
  return finish(builder, fbs::RequestRecordMessage::OriginRecord,
                fbs::CreateOriginRecord(builder, &stream, service, version,
                                        wireMilliseconds(record.keepFor)));
}

std::string encode(const OriginQuery& query, Instant /*now*/) {
  Builder builder;
  const fbs::RequestKey stream = structOf(query.stream);
  return finish(builder, fbs::RequestRecordMessage::OriginQuery,
                fbs::CreateOriginQuery(builder, query.number, &stream));
}

std::string encode(const OriginReply& reply, Instant /*now*/) {
  Builder builder;
  if (const auto* const origin = std::get_if<routing::StreamOrigin>(&reply.state)) {
    const auto service = builder.CreateString(origin->service);
    const auto version = builder.CreateString(origin->softwareVersion);
    return finish(builder, fbs::RequestRecordMessage::OriginReply,
                  fbs::CreateOriginReply(builder, reply.number, fbs::OriginKnowledge::Known,
                                         service, version));
  }
  const auto knowledge = std::holds_alternative<routing::ConflictingOrigin>(reply.state)
                             ? fbs::OriginKnowledge::Conflicting
                             : fbs::OriginKnowledge::Unknown;
  return finish(builder, fbs::RequestRecordMessage::OriginReply,
                fbs::CreateOriginReply(builder, reply.number, knowledge));
}

fbs::RunState wireState(routing::RunState state) {
  switch (state) {
    case routing::RunState::NotExecuted:
      return fbs::RunState::ProvedNotExecuted;
    case routing::RunState::Survived:
      return fbs::RunState::ProvedSurvived;
    case routing::RunState::Ended:
      return fbs::RunState::Ended;
    case routing::RunState::Uncertain:
      break;
  }
  return fbs::RunState::Uncertain;
}

flatbuffers::Offset<fbs::RunHistory> encodeHistory(Builder& builder, const RequestRuns& runs,
                                                   Instant now) {
  std::vector<flatbuffers::Offset<fbs::ReplicaRun>> encoded;
  for (const routing::ReplicaRun& run : runs.history.runs) {
    encoded.push_back(fbs::CreateReplicaRun(
        builder, builder.CreateString(run.replicaId), run.startedAt ? run.startedAt->value() : 0,
        wireMilliseconds(now - run.at), wireState(run.state), run.revision, run.number,
        run.atFailingReplica, run.isInterrupted, wireMilliseconds(run.mayRunUntil - now),
        run.session, wireSentBefore(run)));
  }
  const auto list = builder.CreateVector(encoded);
  const fbs::RequestKey key = structOf(runs.request);
  return fbs::CreateRunHistory(builder, &key, list, wireMilliseconds(runs.history.keepUntil - now));
}

std::string encode(const RunHistoriesMessage& message, Instant now) {
  Builder builder;
  std::vector<flatbuffers::Offset<fbs::RunHistory>> encoded;
  for (const RequestRuns& runs : message.histories) {
    encoded.push_back(encodeHistory(builder, runs, now));
  }
  const auto list = builder.CreateVector(encoded);
  return finish(builder, fbs::RequestRecordMessage::RunHistories,
                fbs::CreateRunHistories(builder, list));
}

std::string encode(const RunHistoriesQuery& query, Instant /*now*/) {
  Builder builder;
  return finish(builder, fbs::RequestRecordMessage::RunHistoriesQuery,
                fbs::CreateRunHistoriesQuery(builder, query.digest));
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

/// A state of a later build, and a verdict without proof of an earlier one, is read as `Uncertain`.
routing::RunState readState(fbs::RunState read) {
  switch (read) {
    case fbs::RunState::ProvedNotExecuted:
      return routing::RunState::NotExecuted;
    case fbs::RunState::ProvedSurvived:
      return routing::RunState::Survived;
    case fbs::RunState::Ended:
      return routing::RunState::Ended;
    case fbs::RunState::NotExecuted:
    case fbs::RunState::Survived:
    case fbs::RunState::Uncertain:
      break;
  }
  return routing::RunState::Uncertain;
}

RequestRuns readHistory(const fbs::RunHistory& read, Instant now) {
  RequestRuns runs{keyOf(*read.request()), {}};
  runs.history.keepUntil = now + milliseconds(read.keep_ms());
  const std::size_t count =
      read.runs() == nullptr ? 0 : std::min<std::size_t>(read.runs()->size(), kMaximumRuns);
  for (flatbuffers::uoffset_t index = 0; index < count; ++index) {
    const fbs::ReplicaRun& run = *read.runs()->Get(index);
    routing::ReplicaRun decoded;
    decoded.replicaId = run.replica()->str();
    if (run.started_unix_ms() != 0) {
      decoded.startedAt = routing::ReplicaStart(run.started_unix_ms());
    }
    decoded.at = now - milliseconds(run.age_ms());
    decoded.state = readState(run.state());
    decoded.revision = run.revision();
    decoded.number = run.number();
    decoded.atFailingReplica = run.at_failing_replica();
    decoded.session = run.session();
    decoded.isInterrupted = run.is_interrupted();
    decoded.mayRunUntil = now + milliseconds(run.may_run_ms());
    decoded.sentAt = readSentAt(run.sent_before(), decoded.at);
    runs.history.runs.push_back(std::move(decoded));
  }
  return runs;
}

RunHistoriesMessage readHistories(const fbs::RunHistories& read, Instant now) {
  RunHistoriesMessage message;
  const std::size_t count =
      read.histories() == nullptr
          ? 0
          : std::min<std::size_t>(read.histories()->size(), kMaximumHistories);
  for (flatbuffers::uoffset_t index = 0; index < count; ++index) {
    message.histories.push_back(readHistory(*read.histories()->Get(index), now));
  }
  return message;
}

}  // namespace

std::string encodeRequestRecord(const RequestRecordMessage& message, Instant now) {
  return std::visit([now](const auto& one) { return encode(one, now); }, message);
}

Result<RequestRecordMessage> decodeRequestRecord(std::string_view bytes, Instant now) {
  const auto* const begin = reinterpret_cast<const std::uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(begin, bytes.size());
  if (fbs::VerifyRequestRecordEnvelopeBuffer(verifier)) {
    const fbs::RequestRecordEnvelope* const read = fbs::GetRequestRecordEnvelope(begin);
    if (const auto* const record = read->message_as_OriginRecord()) {
      return RequestRecordMessage{
          OriginRecord{keyOf(*record->stream()),
                       {textOf(record->service()), textOf(record->software_version())},
                       milliseconds(record->keep_ms())}};
    }
    if (const auto* const query = read->message_as_OriginQuery()) {
      return RequestRecordMessage{OriginQuery{query->number(), keyOf(*query->stream())}};
    }
    if (const auto* const reply = read->message_as_OriginReply()) {
      return RequestRecordMessage{readReply(*reply)};
    }
    if (const auto* const histories = read->message_as_RunHistories()) {
      return RequestRecordMessage{readHistories(*histories, now)};
    }
    if (const auto* const query = read->message_as_RunHistoriesQuery()) {
      return RequestRecordMessage{RunHistoriesQuery{query->digest()}};
    }
  }
  return Error{ErrorKind::InvalidFrame, "request record message",
               "the bytes are not a message that this build knows",
               "run the same version on every node"};
}

}  // namespace gorsetrail::edge
