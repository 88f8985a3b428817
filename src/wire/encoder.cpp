/// \file Encoding of frames. Fields that the receiver can derive from the rest of the frame are
/// omitted to limit control traffic (see bench/wire).
#include <algorithm>
#include <utility>

#include "wire/codec.h"
#include "wire/generated/gorsetrail_generated.h"

namespace gorsetrail::wire {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

constexpr std::size_t kInitialBufferBytes = 512;

/// Type and value of a FlatBuffers union, which are stored as two fields.
template <class Type>
struct UnionValue {
  Type type = Type::NONE;
  Offset<void> value = 0;
};

/// Encodes one frame. FlatBuffers requires children to be created before their parent table.
class FrameEncoder {
 public:
  explicit FrameEncoder(const PeerFrame& frame) : frame_(frame), builder_(kInitialBufferBytes) {}

  std::vector<std::uint8_t> encode() {
    const auto message = std::visit(
        [this](const auto& subsystem) { return visitMessage(subsystem); }, frame_.message);
    const auto root = fbs::CreateFrame(builder_, frame_.senderIncarnation.value(), message.type,
                                       message.value, frame_.sender.value());
    builder_.Finish(root, fbs::FrameIdentifier());
    return withLengthPrefix();
  }

 private:
  using MessageValue = UnionValue<fbs::Message>;
  using EntryOffsets = Offset<flatbuffers::Vector<Offset<fbs::Entry>>>;

  /// Adds the length prefix by hand, because the builder's own prefix would change the alignment of
  /// the buffer, which receivers read without the prefix.
  std::vector<std::uint8_t> withLengthPrefix() {
    const std::size_t length = builder_.GetSize();
    std::vector<std::uint8_t> bytes(kLengthPrefixBytes + length);
    for (std::size_t index = 0; index < kLengthPrefixBytes; ++index) {
      bytes[index] = static_cast<std::uint8_t>(length >> (8 * index));
    }
    std::copy_n(builder_.GetBufferPointer(), length, bytes.data() + kLengthPrefixBytes);
    return bytes;
  }

  template <class Subsystem>
  MessageValue visitMessage(const Subsystem& subsystem) {
    return std::visit([this](const auto& message) { return this->encodeMessage(message); },
                      subsystem);
  }

  template <class Tag>
  static fbs::Digest digestOf(const Digest128<Tag>& digest) {
    return fbs::Digest(flatbuffers::span<const std::uint8_t, 16>(digest.bytes.data(), 16));
  }

  Offset<flatbuffers::String> textOf(const std::string& text) {
    return text.empty() ? Offset<flatbuffers::String>(0) : builder_.CreateString(text);
  }

  // Journal.

  Offset<flatbuffers::String> textOf(const program::EntryBody& body) {
    if (const auto* intent = std::get_if<program::IntentEntry>(&body)) {
      return textOf(intent->messages);
    }
    const auto* outcome = std::get_if<program::OutcomeEntry>(&body);
    return outcome == nullptr ? Offset<flatbuffers::String>(0) : textOf(outcome->answer);
  }

  static void addBody(fbs::EntryBuilder& table, const program::IntentEntry& intent) {
    const fbs::IntentIds ids(digestOf(intent.request), digestOf(intent.content),
                             intent.call.value(), intent.reservedTokens);
    table.add_intent(&ids);
    table.add_branch(intent.branch.value());
    table.add_non_repeatable(!intent.repeatable);
  }
  static void addBody(fbs::EntryBuilder& table, const program::OutcomeEntry& outcome) {
    const fbs::OutcomeFacts facts(outcome.call.value(), outcome.usedTokens,
                                  outcome.usedMilliseconds,
                                  static_cast<fbs::CallStatus>(outcome.status));
    table.add_outcome(&facts);
  }
  static void addBody(fbs::EntryBuilder&, const program::CloseEntry&) {}

  Offset<fbs::Entry> encodeEntry(const program::JournalEntry& entry, SequenceNumber expected,
                                 Epoch epoch) {
    const auto text = textOf(entry.body);
    fbs::EntryBuilder table(builder_);
    if (entry.epoch != epoch) {
      table.add_epoch(entry.epoch.value());
    }
    if (entry.sequence != expected) {
      table.add_sequence(entry.sequence.value());
    }
    table.add_text(text);
    std::visit([&table](const auto& body) { addBody(table, body); }, entry.body);
    return table.Finish();
  }

  EntryOffsets encodeEntries(const std::vector<program::JournalEntry>& entries, Epoch epoch) {
    if (entries.empty()) {
      return 0;
    }
    std::vector<Offset<fbs::Entry>> offsets;
    offsets.reserve(entries.size());
    SequenceNumber expected(1);
    for (const program::JournalEntry& entry : entries) {
      offsets.push_back(encodeEntry(entry, expected, epoch));
      expected = entry.sequence.next();
    }
    return builder_.CreateVector(offsets);
  }

  Offset<fbs::Record> encodeRecord(const std::optional<program::ProgramRecord>& record) {
    if (!record) {
      return 0;
    }
    const Epoch epoch = record->entries.empty() ? Epoch() : record->entries.back().epoch;
    const auto homeZone = textOf(record->key.homeZone);
    const auto tenant = textOf(record->key.tenant);
    const auto name = textOf(record->key.name);
    const auto entries = encodeEntries(record->entries, epoch);
    const fbs::BudgetLimits limits(record->limits.tokens, record->limits.calls,
                                   record->limits.seconds);
    return fbs::CreateRecord(builder_, homeZone, tenant, name, &limits, entries, epoch.value(),
                             record->closed);
  }

  MessageValue encodeMessage(const program::SealRequest& message) {
    const fbs::SealIds ids(digestOf(message.program), message.epoch.value(),
                           message.candidateIncarnation.value(), message.group.value(),
                           message.candidate.value());
    return {fbs::Message::SealRequest, fbs::CreateSealRequest(builder_, &ids).Union()};
  }

  UnionValue<fbs::SealVerdict> encodeVerdict(const program::SealGranted& verdict) {
    const auto record = encodeRecord(verdict.record);
    return {fbs::SealVerdict::SealGranted,
            fbs::CreateSealGranted(builder_, verdict.lastWritten.value(), record).Union()};
  }
  UnionValue<fbs::SealVerdict> encodeVerdict(const program::SealRefused& verdict) {
    const fbs::SealRefusal refusal(verdict.promised.value(), verdict.ownerIncarnation.value(),
                                   verdict.owner.value());
    return {fbs::SealVerdict::SealRefused, fbs::CreateSealRefused(builder_, &refusal).Union()};
  }
  UnionValue<fbs::SealVerdict> encodeVerdict(const program::GroupChanged& verdict) {
    std::vector<std::uint32_t> members;
    members.reserve(verdict.members.size());
    for (const NodeId member : verdict.members) {
      members.push_back(member.value());
    }
    const auto list = builder_.CreateVector(members);
    return {fbs::SealVerdict::GroupChanged,
            fbs::CreateGroupChanged(builder_, list, verdict.current.value()).Union()};
  }

  MessageValue encodeMessage(const program::SealReply& message) {
    const auto verdict =
        std::visit([this](const auto& value) { return encodeVerdict(value); }, message.verdict);
    const fbs::ProgramEpoch ids(digestOf(message.program), message.epoch.value());
    return {fbs::Message::SealReply,
            fbs::CreateSealReply(builder_, &ids, verdict.type, verdict.value).Union()};
  }

  MessageValue encodeMessage(const program::AppendRequest& message) {
    const fbs::AppendIds ids(digestOf(message.program), message.epoch.value(),
                             message.group.value(), message.owner.value());
    const auto entries = encodeEntries(message.entries, message.epoch);
    const auto base = encodeRecord(message.base);
    return {fbs::Message::AppendRequest,
            fbs::CreateAppendRequest(builder_, &ids, entries, base).Union()};
  }

  MessageValue encodeMessage(const program::AppendReply& message) {
    const fbs::ProgramEpoch ids(digestOf(message.program), message.epoch.value());
    flatbuffers::Optional<std::uint64_t> promised;
    if (message.promised != message.epoch) {
      promised = message.promised.value();
    }
    return {fbs::Message::AppendReply,
            fbs::CreateAppendReply(builder_, &ids, message.storedThrough.value(),
                                   static_cast<fbs::AppendVerdict>(message.verdict), promised)
                .Union()};
  }

  MessageValue encodeMessage(const program::ReleaseNotice& message) {
    const fbs::ProgramEpoch ids(digestOf(message.program), message.epoch.value());
    return {fbs::Message::ReleaseNotice, fbs::CreateReleaseNotice(builder_, &ids).Union()};
  }

  // Membership.

  Offset<flatbuffers::Vector<const fbs::MemberUpdate*>> encodeUpdates(
      const std::vector<membership::MemberUpdate>& updates) {
    if (updates.empty()) {
      return 0;
    }
    std::vector<fbs::MemberUpdate> structs;
    structs.reserve(updates.size());
    for (const membership::MemberUpdate& update : updates) {
      structs.emplace_back(update.incarnation.value(), update.node.value(), update.refutation,
                           static_cast<fbs::MemberState>(update.state));
    }
    return builder_.CreateVectorOfStructs(structs);
  }

  Offset<flatbuffers::Vector<const fbs::BackendNotice*>> encodeNotices(
      const std::vector<membership::BackendNotice>& notices) {
    if (notices.empty()) {
      return 0;
    }
    std::vector<fbs::BackendNotice> structs;
    structs.reserve(notices.size());
    for (const membership::BackendNotice& notice : notices) {
      structs.emplace_back(notice.backendHash, notice.version, notice.leaving);
    }
    return builder_.CreateVectorOfStructs(structs);
  }

  Offset<void> encodeProbe(std::uint32_t probe, NodeId target,
                           const membership::Piggyback& piggyback) {
    const auto updates = encodeUpdates(piggyback.updates);
    const auto notices = encodeNotices(piggyback.notices);
    flatbuffers::Optional<std::uint64_t> incarnation;
    if (piggyback.senderIncarnation != frame_.senderIncarnation) {
      incarnation = piggyback.senderIncarnation.value();
    }
    return fbs::CreateProbe(builder_, probe, piggyback.bundleInForce.value(), updates, notices,
                            target.value(), incarnation)
        .Union();
  }
  MessageValue encodeMessage(const membership::ProbeRequest& message) {
    return {fbs::Message::ProbeRequest, encodeProbe(message.probe, NodeId(), message.piggyback)};
  }
  MessageValue encodeMessage(const membership::ProbeReply& message) {
    return {fbs::Message::ProbeReply, encodeProbe(message.probe, NodeId(), message.piggyback)};
  }
  MessageValue encodeMessage(const membership::IndirectProbeRequest& message) {
    return {fbs::Message::IndirectProbeRequest,
            encodeProbe(message.probe, message.target, message.piggyback)};
  }

  // Bundle and observation.

  MessageValue encodeMessage(const bundle::BundleFetchRequest& message) {
    return {fbs::Message::BundleFetchRequest,
            fbs::CreateBundleFetchRequest(builder_, message.have.value()).Union()};
  }
  MessageValue encodeMessage(const bundle::BundleFetchReply& message) {
    const auto envelope = textOf(message.envelope);
    return {fbs::Message::BundleFetchReply,
            fbs::CreateBundleFetchReply(builder_, message.version.value(), envelope).Union()};
  }
  MessageValue encodeMessage(const engine::LoadDigest& message) {
    std::vector<fbs::ReplicaLoad> structs;
    structs.reserve(message.replicas.size());
    for (const engine::ReplicaLoad& load : message.replicas) {
      structs.emplace_back(load.backendHash, load.runningStreams, load.queuedRequests,
                           load.cacheUsedPerMille, load.ageMilliseconds);
    }
    const auto replicas = builder_.CreateVectorOfStructs(structs);
    return {fbs::Message::LoadDigest, fbs::CreateLoadDigest(builder_, replicas).Union()};
  }

  const PeerFrame& frame_;
  FlatBufferBuilder builder_;
};

}  // namespace

std::vector<std::uint8_t> encodeFrame(const PeerFrame& frame) {
  return FrameEncoder(frame).encode();
}

}  // namespace gorsetrail::wire
