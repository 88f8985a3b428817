/// \file Decoding of frames from untrusted peers.
///
/// Three checks: the FlatBuffers verifier (offsets, depth and number of tables), the range of
/// enumerations and list lengths, and a limit on the total of copied text bytes. The verifier
/// accepts many tables that share one long text, and copying it for each would exhaust the memory.
#include <algorithm>
#include <cstdint>
#include <utility>

#include "wire/codec.h"
#include "wire/generated/gorsetrail_generated.h"

namespace gorsetrail::wire {
namespace {

constexpr flatbuffers::uoffset_t kMaximumDepth = 8;
constexpr flatbuffers::uoffset_t kMaximumTables = 128U * 1024U;
constexpr std::size_t kBufferAlignment = 8;
constexpr std::size_t kMaximumGroupMembers = 64;
constexpr std::size_t kMaximumNameBytes = 1024;

Error invalidFrame(std::string reason) {
  return Error{.kind = ErrorKind::InvalidFrame,
               .field = "frame",
               .reason = std::move(reason),
               .remedy =
                   "run the same version of gorsetraild on both nodes and check that nothing "
                   "else connects to the peers' port"};
}

/// Decodes a verified buffer. After the first error the remaining values are decoded but discarded.
class FrameDecoder {
 public:
  FrameDecoder(const fbs::Frame& frame, std::size_t bufferBytes)
      : root_(frame), remainingTextBytes_(bufferBytes) {}

  Result<PeerFrame> decode() {
    PeerFrame frame;
    frame.sender = NodeId(root_.sender());
    frame.senderIncarnation = Incarnation(root_.incarnation());
    frame.message = decodeMessage();
    if (fault_ != nullptr) {
      return invalidFrame(fault_);
    }
    return frame;
  }

 private:
  void fail(const char* fault) {
    if (fault_ == nullptr) {
      fault_ = fault;
    }
  }

  template <class Enumeration, class Wire>
  Enumeration enumerationOf(Wire raw, Enumeration highest) {
    if (static_cast<std::uint8_t>(raw) > static_cast<std::uint8_t>(highest)) {
      fail("an enumeration has a value out of its range");
      return highest;
    }
    return static_cast<Enumeration>(raw);
  }

  std::string textOf(const flatbuffers::String* text) {
    if (text == nullptr) {
      return {};
    }
    if (text->size() > remainingTextBytes_) {
      fail("texts are longer than the frame that holds them");
      return {};
    }
    remainingTextBytes_ -= text->size();
    return text->str();
  }

  std::string nameOf(const flatbuffers::String* text) {
    if (text != nullptr && text->size() > kMaximumNameBytes) {
      fail("a name is too long");
      return {};
    }
    return textOf(text);
  }

  template <class Digest>
  static Digest digestOf(const fbs::Digest& wire) {
    Digest digest;
    std::copy_n(wire.bytes()->data(), digest.bytes.size(), digest.bytes.data());
    return digest;
  }

  template <class Vector>
  bool hasValidLength(const Vector* list, std::size_t maximum) {
    if (list == nullptr) {
      return false;
    }
    if (list->size() > maximum) {
      fail("a list is too long");
      return false;
    }
    return true;
  }

  // Journal.

  program::IntentEntry decodeIntent(const fbs::Entry& wire) {
    program::IntentEntry intent;
    intent.call = CallNumber(wire.intent()->call());
    intent.branch = program::BranchId(wire.branch());
    intent.request = digestOf<RequestDigest>(wire.intent()->request());
    intent.content = digestOf<ContentDigest>(wire.intent()->content());
    intent.repeatable = !wire.non_repeatable();
    intent.reservedTokens = wire.intent()->reserved_tokens();
    intent.messages = textOf(wire.text());
    return intent;
  }

  program::OutcomeEntry decodeOutcome(const fbs::Entry& wire) {
    program::OutcomeEntry outcome;
    outcome.call = CallNumber(wire.outcome()->call());
    outcome.status = enumerationOf(wire.outcome()->status(), program::CallStatus::Unknown);
    outcome.usedTokens = wire.outcome()->used_tokens();
    outcome.usedMilliseconds = wire.outcome()->used_milliseconds();
    outcome.answer = textOf(wire.text());
    return outcome;
  }

  program::EntryBody decodeBody(const fbs::Entry& wire) {
    if (wire.intent() != nullptr && wire.outcome() != nullptr) {
      fail("a journal entry is both an intent and an outcome");
    } else if (wire.intent() != nullptr) {
      return decodeIntent(wire);
    } else if (wire.outcome() != nullptr) {
      return decodeOutcome(wire);
    }
    return program::CloseEntry{};
  }

  std::vector<program::JournalEntry> decodeEntries(
      const flatbuffers::Vector<flatbuffers::Offset<fbs::Entry>>* wire, Epoch epoch) {
    std::vector<program::JournalEntry> entries;
    if (wire == nullptr) {
      return entries;
    }
    // The length of the list is bounded because the verifier limits the number of tables.
    entries.reserve(wire->size());
    SequenceNumber expected(1);
    for (const fbs::Entry* entry : *wire) {
      const SequenceNumber sequence(entry->sequence().value_or(expected.value()));
      entries.push_back(
          {sequence, Epoch(entry->epoch().value_or(epoch.value())), decodeBody(*entry)});
      expected = sequence.next();
    }
    return entries;
  }

  std::optional<program::ProgramRecord> decodeRecord(const fbs::Record* wire) {
    if (wire == nullptr) {
      return std::nullopt;
    }
    program::ProgramRecord record;
    record.key.homeZone = nameOf(wire->home_zone());
    record.key.tenant = nameOf(wire->tenant());
    record.key.name = nameOf(wire->name());
    record.limits.calls = wire->limits()->calls();
    record.limits.tokens = wire->limits()->tokens();
    record.limits.seconds = wire->limits()->seconds();
    record.entries = decodeEntries(wire->entries(), Epoch(wire->epoch()));
    record.closed = wire->closed();
    return record;
  }

  static program::SealRequest decodeSealRequest(const fbs::SealRequest& wire) {
    const fbs::SealIds& ids = *wire.ids();
    return {digestOf<ProgramId>(ids.program()), program::GroupVersion(ids.group()),
            Epoch(ids.epoch()), NodeId(ids.candidate()), Incarnation(ids.candidate_incarnation())};
  }

  program::GroupChanged decodeGroupChanged(const fbs::GroupChanged& wire) {
    program::GroupChanged verdict;
    verdict.current = program::GroupVersion(wire.current());
    if (hasValidLength(wire.members(), kMaximumGroupMembers)) {
      for (const std::uint32_t member : *wire.members()) {
        verdict.members.emplace_back(member);
      }
    }
    return verdict;
  }

  static program::SealRefused decodeSealRefused(const fbs::SealRefused& wire) {
    const fbs::SealRefusal& refusal = *wire.refusal();
    return {Epoch(refusal.promised()), NodeId(refusal.owner()),
            Incarnation(refusal.owner_incarnation())};
  }

  program::SealReply decodeSealReply(const fbs::SealReply& wire) {
    program::SealReply reply;
    reply.program = digestOf<ProgramId>(wire.ids()->program());
    reply.epoch = Epoch(wire.ids()->epoch());
    switch (wire.verdict_type()) {
      case fbs::SealVerdict::SealGranted: {
        const fbs::SealGranted& granted = *wire.verdict_as_SealGranted();
        reply.verdict =
            program::SealGranted{Epoch(granted.last_written()), decodeRecord(granted.record())};
        return reply;
      }
      case fbs::SealVerdict::SealRefused:
        reply.verdict = decodeSealRefused(*wire.verdict_as_SealRefused());
        return reply;
      case fbs::SealVerdict::GroupChanged:
        reply.verdict = decodeGroupChanged(*wire.verdict_as_GroupChanged());
        return reply;
      case fbs::SealVerdict::NONE:
        break;
    }
    fail("a seal's verdict is of no known kind");
    return reply;
  }

  program::AppendRequest decodeAppendRequest(const fbs::AppendRequest& wire) {
    const fbs::AppendIds& ids = *wire.ids();
    program::AppendRequest request;
    request.program = digestOf<ProgramId>(ids.program());
    request.group = program::GroupVersion(ids.group());
    request.epoch = Epoch(ids.epoch());
    request.owner = NodeId(ids.owner());
    request.base = decodeRecord(wire.base());
    request.entries = decodeEntries(wire.entries(), request.epoch);
    return request;
  }

  program::AppendReply decodeAppendReply(const fbs::AppendReply& wire) {
    program::AppendReply reply;
    reply.program = digestOf<ProgramId>(wire.ids()->program());
    reply.epoch = Epoch(wire.ids()->epoch());
    reply.verdict = enumerationOf(wire.verdict(), program::AppendVerdict::WrongGroup);
    reply.storedThrough = SequenceNumber(wire.stored_through());
    reply.promised = Epoch(wire.promised().value_or(reply.epoch.value()));
    return reply;
  }

  static program::ReleaseNotice decodeReleaseNotice(const fbs::ReleaseNotice& wire) {
    return {digestOf<ProgramId>(wire.ids()->program()), Epoch(wire.ids()->epoch())};
  }

  // Membership.

  membership::Piggyback decodePiggyback(const fbs::Probe& wire) {
    membership::Piggyback piggyback;
    piggyback.senderIncarnation =
        Incarnation(wire.sender_incarnation().value_or(root_.incarnation()));
    piggyback.bundleInForce = BundleVersion(wire.bundle_in_force());
    if (hasValidLength(wire.updates(), membership::kMaximumUpdates)) {
      for (const fbs::MemberUpdate* update : *wire.updates()) {
        piggyback.updates.push_back(
            {NodeId(update->node()), Incarnation(update->incarnation()),
             enumerationOf(update->state(), membership::MemberState::Terminated),
             update->refutation()});
      }
    }
    if (hasValidLength(wire.notices(), membership::kMaximumNotices)) {
      for (const fbs::BackendNotice* notice : *wire.notices()) {
        piggyback.notices.push_back({notice->backend(), notice->leaving(), notice->version()});
      }
    }
    return piggyback;
  }

  // Observation.

  engine::LoadDigest decodeLoadDigest(const fbs::LoadDigest& wire) {
    engine::LoadDigest digest;
    if (hasValidLength(wire.replicas(), engine::kMaximumReplicas)) {
      for (const fbs::ReplicaLoad* load : *wire.replicas()) {
        digest.replicas.push_back({load->backend(), load->running_streams(),
                                   load->queued_requests(), load->cache_used_per_mille(),
                                   load->age_milliseconds()});
      }
    }
    return digest;
  }

  PeerMessage decodeJournal() {
    switch (root_.message_type()) {
      case fbs::Message::SealRequest:
        return program::JournalMessage(decodeSealRequest(*root_.message_as_SealRequest()));
      case fbs::Message::SealReply:
        return program::JournalMessage(decodeSealReply(*root_.message_as_SealReply()));
      case fbs::Message::AppendRequest:
        return program::JournalMessage(decodeAppendRequest(*root_.message_as_AppendRequest()));
      case fbs::Message::AppendReply:
        return program::JournalMessage(decodeAppendReply(*root_.message_as_AppendReply()));
      default:
        return program::JournalMessage(decodeReleaseNotice(*root_.message_as_ReleaseNotice()));
    }
  }

  PeerMessage decodeMembership() {
    const fbs::Probe& probe = *static_cast<const fbs::Probe*>(root_.message());
    membership::Piggyback piggyback = decodePiggyback(probe);
    switch (root_.message_type()) {
      case fbs::Message::ProbeRequest:
        return membership::MembershipMessage(
            membership::ProbeRequest{probe.probe(), std::move(piggyback)});
      case fbs::Message::ProbeReply:
        return membership::MembershipMessage(
            membership::ProbeReply{probe.probe(), std::move(piggyback)});
      default:
        return membership::MembershipMessage(membership::IndirectProbeRequest{
            probe.probe(), NodeId(probe.target()), std::move(piggyback)});
    }
  }

  PeerMessage decodeMessage() {
    switch (root_.message_type()) {
      case fbs::Message::SealRequest:
      case fbs::Message::SealReply:
      case fbs::Message::AppendRequest:
      case fbs::Message::AppendReply:
      case fbs::Message::ReleaseNotice:
        return decodeJournal();
      case fbs::Message::ProbeRequest:
      case fbs::Message::ProbeReply:
      case fbs::Message::IndirectProbeRequest:
        return decodeMembership();
      case fbs::Message::BundleFetchRequest:
        return bundle::DistributionMessage(bundle::BundleFetchRequest{
            BundleVersion(root_.message_as_BundleFetchRequest()->have())});
      case fbs::Message::BundleFetchReply: {
        const fbs::BundleFetchReply& reply = *root_.message_as_BundleFetchReply();
        return bundle::DistributionMessage(
            bundle::BundleFetchReply{BundleVersion(reply.version()), textOf(reply.envelope())});
      }
      case fbs::Message::LoadDigest:
        return engine::ObservationMessage(decodeLoadDigest(*root_.message_as_LoadDigest()));
      case fbs::Message::NONE:
        break;
    }
    fail("the message is of no known kind");
    return {};
  }

  const fbs::Frame& root_;
  std::size_t remainingTextBytes_;
  const char* fault_ = nullptr;
};

/// \return whether the buffer has the alignment that FlatBuffers needs to read numbers in place.
bool isAligned(std::span<const std::uint8_t> buffer) {
  return reinterpret_cast<std::uintptr_t>(buffer.data()) % kBufferAlignment == 0;
}

Result<PeerFrame> decodeAligned(std::span<const std::uint8_t> buffer) {
  flatbuffers::Verifier verifier(buffer.data(), buffer.size(), kMaximumDepth, kMaximumTables);
  if (!fbs::VerifyFrameBuffer(verifier)) {
    return invalidFrame("the FlatBuffers verifier refused it");
  }
  return FrameDecoder(*fbs::GetFrame(buffer.data()), buffer.size()).decode();
}

}  // namespace

Result<PeerFrame> decodeFrame(std::span<const std::uint8_t> buffer) {
  // The verifier would read past the end of a buffer without root offset and file identifier.
  constexpr std::size_t kShortestBuffer = 8;
  if (buffer.size() < kShortestBuffer) {
    return invalidFrame("it is too short to be a frame");
  }
  if (buffer.size() > kMaximumFrameBytes) {
    return invalidFrame("it is longer than the longest frame");
  }
  if (isAligned(buffer)) {
    return decodeAligned(buffer);
  }
  const std::vector<std::uint8_t> aligned(buffer.begin(), buffer.end());
  return decodeAligned(aligned);
}

}  // namespace gorsetrail::wire
