/// \file Seeded random generator of frames of all message kinds.
#pragma once

#include <string>
#include <vector>

#include "base/random.h"
#include "wire/codec.h"

namespace gorsetrail::wire::testing {

/// Generates frames; the same seed gives the same frames.
class FrameGenerator {
 public:
  explicit FrameGenerator(std::uint64_t seed) : random_(seed) {}

  /// Number of message alternatives over all subsystems (verdicts and entry kinds are random).
  static constexpr std::uint64_t kAlternatives = 11;

  PeerFrame frame(std::uint64_t alternative) {
    return {NodeId(number32()), Incarnation(number64()), message(alternative)};
  }
  PeerFrame anyFrame() { return frame(random_.below(kAlternatives)); }
  RandomSource& random() { return random_; }

  std::string text(std::uint64_t longest) {
    std::string value(random_.below(longest + 1), '\0');
    for (char& character : value) {
      character = static_cast<char>(random_.below(256));
    }
    return value;
  }

 private:
  // Often zero, because absent fields must decode as zero.
  std::uint32_t number32() { return static_cast<std::uint32_t>(number64()); }
  std::uint64_t number64() {
    const std::uint64_t kind = random_.below(4);
    return kind == 0 ? 0 : kind == 1 ? random_.below(300) : random_.below(~std::uint64_t{0});
  }
  bool flag() { return random_.below(2) == 1; }

  template <class Digest>
  Digest digest() {
    Digest value;
    for (std::uint8_t& byte : value.bytes) {
      byte = static_cast<std::uint8_t>(random_.below(256));
    }
    return value;
  }

  program::EntryBody body() {
    switch (random_.below(3)) {
      case 0:
        return program::IntentEntry{CallNumber(number32()),
                                    program::BranchId(number64()),
                                    digest<RequestDigest>(),
                                    digest<ContentDigest>(),
                                    flag(),
                                    number32(),
                                    text(60)};
      case 1:
        return program::OutcomeEntry{CallNumber(number32()),
                                     static_cast<program::CallStatus>(random_.below(4)), number32(),
                                     number32(), text(60)};
      default:
        return program::CloseEntry{};
    }
  }

  std::vector<program::JournalEntry> entries() {
    std::vector<program::JournalEntry> list;
    SequenceNumber sequence(number64());
    for (std::uint64_t left = random_.below(6); left > 0; --left) {
      sequence = flag() ? sequence.next() : SequenceNumber(number64());
      list.push_back({sequence, Epoch(random_.below(3)), body()});
    }
    return list;
  }

  std::optional<program::ProgramRecord> record() {
    if (flag()) {
      return std::nullopt;
    }
    return program::ProgramRecord{
        {text(20), text(20), text(128)}, {number32(), number64(), number32()}, entries(), flag()};
  }

  program::SealReply sealReply() {
    program::SealReply reply{digest<ProgramId>(), Epoch(number64()), {}};
    switch (random_.below(3)) {
      case 0:
        reply.verdict = program::SealGranted{Epoch(number64()), record()};
        break;
      case 1:
        reply.verdict =
            program::SealRefused{Epoch(number64()), NodeId(number32()), Incarnation(number64())};
        break;
      default:
        reply.verdict = program::GroupChanged{program::GroupVersion(number32()),
                                              {NodeId(number32()), NodeId(number32())}};
    }
    return reply;
  }

  membership::Piggyback piggyback() {
    membership::Piggyback value;
    value.senderIncarnation = Incarnation(number64());
    value.bundleInForce = BundleVersion(number64());
    for (std::uint64_t left = random_.below(membership::kMaximumUpdates + 1); left > 0; --left) {
      value.updates.push_back({NodeId(number32()), Incarnation(number64()),
                               static_cast<membership::MemberState>(random_.below(5)), number32()});
    }
    for (std::uint64_t left = random_.below(membership::kMaximumNotices + 1); left > 0; --left) {
      value.notices.push_back({number32(), flag(), number32()});
    }
    return value;
  }

  engine::LoadDigest loadDigest() {
    engine::LoadDigest digest;
    for (std::uint64_t left = random_.below(engine::kMaximumReplicas + 1); left > 0; --left) {
      digest.replicas.push_back({number32(), static_cast<std::uint16_t>(number32()),
                                 static_cast<std::uint16_t>(number32()),
                                 static_cast<std::uint16_t>(number32()),
                                 static_cast<std::uint16_t>(number32())});
    }
    return digest;
  }

  PeerMessage message(std::uint64_t alternative) {
    using membership::MembershipMessage;
    using program::JournalMessage;
    switch (alternative) {
      case 0:
        return JournalMessage(
            program::SealRequest{digest<ProgramId>(), program::GroupVersion(number32()),
                                 Epoch(number64()), NodeId(number32()), Incarnation(number64())});
      case 1:
        return JournalMessage(sealReply());
      case 2:
        return JournalMessage(program::AppendRequest{
            digest<ProgramId>(), program::GroupVersion(number32()), Epoch(random_.below(3)),
            NodeId(number32()), record(), entries()});
      case 3:
        return JournalMessage(
            program::AppendReply{digest<ProgramId>(), Epoch(number64()),
                                 static_cast<program::AppendVerdict>(random_.below(4)),
                                 SequenceNumber(number64()), Epoch(number64())});
      case 4:
        return JournalMessage(program::ReleaseNotice{digest<ProgramId>(), Epoch(number64())});
      case 5:
        return MembershipMessage(membership::ProbeRequest{number32(), piggyback()});
      case 6:
        return MembershipMessage(membership::ProbeReply{number32(), piggyback()});
      case 7:
        return MembershipMessage(
            membership::IndirectProbeRequest{number32(), NodeId(number32()), piggyback()});
      case 8:
        return bundle::DistributionMessage(bundle::BundleFetchRequest{BundleVersion(number64())});
      case 9:
        return bundle::DistributionMessage(
            bundle::BundleFetchReply{BundleVersion(number64()), text(200)});
      default:
        return engine::ObservationMessage(loadDigest());
    }
  }

  RandomSource random_;
};

}  // namespace gorsetrail::wire::testing
