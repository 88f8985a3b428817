#include "logstore/store_message.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "logstore/generated/store_call_generated.h"

namespace gorsetrail::logstore {
namespace {

using Builder = flatbuffers::FlatBufferBuilder;
using BytesList = flatbuffers::Vector<flatbuffers::Offset<fbs::Bytes>>;

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> encodeBytes(Builder& builder,
                                                                   std::string_view text) {
  return builder.CreateVector(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
}

std::string toText(const flatbuffers::Vector<std::uint8_t>* bytes) {
  return bytes == nullptr
             ? std::string()
             : std::string(reinterpret_cast<const char*>(bytes->data()), bytes->size());
}

std::string toText(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

flatbuffers::Offset<BytesList> encodeRecords(Builder& builder,
                                             const std::vector<std::string>& records) {
  std::vector<flatbuffers::Offset<fbs::Bytes>> offsets;
  offsets.reserve(records.size());
  for (const std::string& record : records) {
    offsets.push_back(fbs::CreateBytes(builder, encodeBytes(builder, record)));
  }
  return builder.CreateVector(offsets);
}

std::vector<std::string> toTexts(const BytesList* records) {
  std::vector<std::string> texts;
  if (records != nullptr) {
    texts.reserve(records->size());
    for (const fbs::Bytes* const record : *records) {
      texts.push_back(toText(record->data()));
    }
  }
  return texts;
}

std::string finishEnvelope(Builder& builder, fbs::Message type, flatbuffers::Offset<void> body) {
  fbs::FinishEnvelopeBuffer(builder, fbs::CreateEnvelope(builder, type, body));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

std::string finishReply(Builder& builder, fbs::StoreReplyBuilder& reply) {
  const auto offset = reply.Finish();
  return finishEnvelope(builder, fbs::Message::StoreReply, offset.Union());
}

const fbs::Envelope* verifiedEnvelope(std::string_view bytes) {
  const auto* const begin = reinterpret_cast<const std::uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(begin, bytes.size());
  return fbs::VerifyEnvelopeBuffer(verifier) ? fbs::GetEnvelope(begin) : nullptr;
}

std::string encode(const AppendRequest& request) {
  Builder builder;
  const auto topic = builder.CreateString(request.partition.topic);
  const auto records = encodeRecords(builder, request.records);
  fbs::StoreCallBuilder call(builder);
  call.add_kind(fbs::CallKind::Append);
  call.add_topic(topic);
  call.add_partition(request.partition.partition);
  call.add_records(records);
  call.add_time_limit_us(static_cast<std::uint64_t>(request.timeLimit.count()));
  const auto offset = call.Finish();
  return finishEnvelope(builder, fbs::Message::StoreCall, offset.Union());
}

std::string encode(const ReadRequest& request) {
  Builder builder;
  const auto topic = builder.CreateString(request.partition.topic);
  fbs::StoreCallBuilder call(builder);
  call.add_kind(fbs::CallKind::Read);
  call.add_topic(topic);
  call.add_partition(request.partition.partition);
  call.add_start(request.start);
  call.add_wait_us(static_cast<std::uint64_t>(request.wait.count()));
  call.add_time_limit_us(static_cast<std::uint64_t>(request.timeLimit.count()));
  call.add_changes_only(request.acceptsSparseReply);
  const auto offset = call.Finish();
  return finishEnvelope(builder, fbs::Message::StoreCall, offset.Union());
}

std::string encode(const NewestRequest& request) {
  Builder builder;
  const auto topic = builder.CreateString(request.partition.topic);
  const auto after = builder.CreateString(request.afterKey);
  fbs::StoreCallBuilder call(builder);
  call.add_kind(fbs::CallKind::Newest);
  call.add_topic(topic);
  call.add_partition(request.partition.partition);
  call.add_after_key(after);
  call.add_time_limit_us(static_cast<std::uint64_t>(request.timeLimit.count()));
  const auto offset = call.Finish();
  return finishEnvelope(builder, fbs::Message::StoreCall, offset.Union());
}

std::string encode(const AppendReply& reply) {
  Builder builder;
  fbs::StoreReplyBuilder message(builder);
  message.add_offset(reply.offset);
  message.add_end(reply.end);
  return finishReply(builder, message);
}

std::string encode(const ReadReply& reply) {
  Builder builder;
  const auto records = encodeRecords(builder, reply.records);
  flatbuffers::Offset<flatbuffers::Vector<std::uint64_t>> offsets;
  if (reply.changes) {
    offsets = builder.CreateVector(reply.changes->offsets);
  }
  fbs::StoreReplyBuilder message(builder);
  message.add_end(reply.end);
  message.add_first_kept(reply.firstKept);
  message.add_records(records);
  if (reply.changes) {
    message.add_offsets(offsets);
    message.add_next(reply.changes->next);
  }
  return finishReply(builder, message);
}

std::string encode(const NewestReply& reply) {
  Builder builder;
  std::vector<flatbuffers::Offset<fbs::Item>> items;
  items.reserve(reply.items.size());
  for (const KeyedItem& item : reply.items) {
    const auto key = builder.CreateString(item.key);
    items.push_back(fbs::CreateItem(builder, key, encodeBytes(builder, item.value), item.offset));
  }
  const auto list = builder.CreateVector(items);
  fbs::StoreReplyBuilder message(builder);
  message.add_end(reply.end);
  message.add_items(list);
  message.add_has_more(reply.hasMore);
  return finishReply(builder, message);
}

fbs::Outcome toOutcome(StoreFault fault) {
  switch (fault) {
    case StoreFault::NoAnswer:
      return fbs::Outcome::NoAnswer;
    case StoreFault::Busy:
      return fbs::Outcome::Busy;
    case StoreFault::Throttled:
      return fbs::Outcome::Throttled;
    case StoreFault::Compacted:
      return fbs::Outcome::Compacted;
    case StoreFault::NotKept:
      return fbs::Outcome::NotKept;
    case StoreFault::Rejected:
      break;
  }
  return fbs::Outcome::Rejected;
}

StoreFault toFault(fbs::Outcome outcome) {
  switch (outcome) {
    case fbs::Outcome::Busy:
      return StoreFault::Busy;
    case fbs::Outcome::Throttled:
      return StoreFault::Throttled;
    case fbs::Outcome::Compacted:
      return StoreFault::Compacted;
    case fbs::Outcome::Rejected:
      return StoreFault::Rejected;
    case fbs::Outcome::NotKept:
      return StoreFault::NotKept;
    case fbs::Outcome::Done:
    case fbs::Outcome::NoAnswer:
      break;
  }
  return StoreFault::NoAnswer;
}

std::string encode(const StoreError& error) {
  Builder builder;
  const auto reason = builder.CreateString(error.reason);
  fbs::StoreReplyBuilder message(builder);
  message.add_outcome(toOutcome(error.fault));
  message.add_reason(reason);
  message.add_first_kept(error.firstKept);
  return finishReply(builder, message);
}

std::variant<const fbs::StoreReply*, StoreError> parseReply(std::string_view bytes) {
  const fbs::Envelope* const envelope = verifiedEnvelope(bytes);
  const fbs::StoreReply* const reply =
      envelope == nullptr ? nullptr : envelope->message_as_StoreReply();
  if (reply == nullptr) {
    return StoreError{StoreFault::NoAnswer, "the relay's reply is malformed", 0};
  }
  if (reply->outcome() != fbs::Outcome::Done) {
    return StoreError{toFault(reply->outcome()), toText(reply->reason()), reply->first_kept()};
  }
  return reply;
}

ReadRequest decodeRead(const fbs::StoreCall& call, const PartitionAddress& partition,
                       Duration timeLimit) {
  ReadRequest request;
  request.partition = partition;
  request.start = call.start();
  request.wait = Duration(static_cast<Duration::rep>(call.wait_us()));
  request.timeLimit = timeLimit;
  request.acceptsSparseReply = call.changes_only();
  return request;
}

/// \return nothing when the reply has consecutive offsets; an error when its offsets are invalid.
StoreResult<std::optional<RecordChanges>> parseChanges(const fbs::StoreReply& reply,
                                                       std::size_t records) {
  if (reply.offsets() == nullptr) {
    return std::optional<RecordChanges>();
  }
  RecordChanges changes;
  changes.offsets.assign(reply.offsets()->begin(), reply.offsets()->end());
  changes.next = reply.next();
  const bool isSorted = std::is_sorted(changes.offsets.begin(), changes.offsets.end());
  const bool isBeforeNext = changes.offsets.empty() || changes.offsets.back() < changes.next;
  if (changes.offsets.size() != records || !isSorted || !isBeforeNext) {
    return StoreError{StoreFault::NoAnswer,
                      "the relay's reply has offsets out of order or not one per record", 0};
  }
  return std::optional(std::move(changes));
}

}  // namespace

std::string encodeStoreCall(const StoreCallRequest& request) {
  return std::visit([](const auto& call) { return encode(call); }, request);
}

std::string encodeStoreReply(const StoreCallReply& reply) {
  return std::visit([](const auto& message) { return encode(message); }, reply);
}

Result<StoreCallRequest> decodeStoreCall(std::string_view bytes) {
  const fbs::Envelope* const envelope = verifiedEnvelope(bytes);
  const fbs::StoreCall* const call =
      envelope == nullptr ? nullptr : envelope->message_as_StoreCall();
  if (call == nullptr) {
    return Error{ErrorKind::InvalidFrame, "store call", "malformed store call",
                 "run the same version on every node"};
  }
  const PartitionAddress partition{toText(call->topic()), call->partition()};
  const auto timeLimit = Duration(static_cast<Duration::rep>(call->time_limit_us()));
  switch (call->kind()) {
    case fbs::CallKind::Append:
      return StoreCallRequest{AppendRequest{partition, toTexts(call->records()), timeLimit}};
    case fbs::CallKind::Read:
      return StoreCallRequest{decodeRead(*call, partition, timeLimit)};
    case fbs::CallKind::Newest:
      break;
  }
  return StoreCallRequest{NewestRequest{partition, toText(call->after_key()), timeLimit}};
}

StoreResult<AppendReply> decodeAppendReply(std::string_view bytes) {
  const auto read = parseReply(bytes);
  if (const auto* const error = std::get_if<StoreError>(&read)) {
    return *error;
  }
  const fbs::StoreReply* const reply = std::get<const fbs::StoreReply*>(read);
  return AppendReply{reply->offset(), reply->end()};
}

StoreResult<ReadReply> decodeReadReply(std::string_view bytes) {
  const auto read = parseReply(bytes);
  if (const auto* const error = std::get_if<StoreError>(&read)) {
    return *error;
  }
  const fbs::StoreReply* const reply = std::get<const fbs::StoreReply*>(read);
  ReadReply decoded;
  decoded.end = reply->end();
  decoded.firstKept = reply->first_kept();
  decoded.records = toTexts(reply->records());
  auto changes = parseChanges(*reply, decoded.records.size());
  if (const auto* const error = std::get_if<StoreError>(&changes)) {
    return *error;
  }
  decoded.changes = std::move(std::get<std::optional<RecordChanges>>(changes));
  return decoded;
}

StoreResult<NewestReply> decodeNewestReply(std::string_view bytes) {
  const auto read = parseReply(bytes);
  if (const auto* const error = std::get_if<StoreError>(&read)) {
    return *error;
  }
  const fbs::StoreReply* const reply = std::get<const fbs::StoreReply*>(read);
  NewestReply newest;
  newest.end = reply->end();
  newest.hasMore = reply->has_more();
  if (reply->items() != nullptr) {
    for (const fbs::Item* const item : *reply->items()) {
      newest.items.push_back({toText(item->key()), toText(item->value()), item->offset()});
    }
  }
  return newest;
}

}  // namespace gorsetrail::logstore
