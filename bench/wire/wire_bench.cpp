/// \file Prints the bytes of each typical message between nodes, and what coding it costs.
///
/// Set against the budget of 9 KB/s of control traffic a node; bytes of TCP and IP are not
/// counted. Texts of histories and answers are data, not control, so journal messages are shown
/// with their texts empty, and once with a typical text.
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "wire/codec.h"

namespace {

using namespace gorsetrail;
using Clock = std::chrono::steady_clock;

constexpr int kRounds = 100'000;
constexpr std::uint64_t kStartMicroseconds = 1'700'000'000'000'000;  // A typical incarnation.

struct Sample {
  const char* name;
  wire::PeerMessage message;
};

ProgramId someProgram() { return programIdOf({"zone-1", "press-a", "order-17"}); }

program::JournalEntry intent(std::uint64_t sequence, std::string messages) {
  return {SequenceNumber(sequence), Epoch(3),
          program::IntentEntry{CallNumber(7), program::BranchId(0), requestDigestOf("request-7"),
                               contentDigestOf("content-7"), true, 512, std::move(messages)}};
}

program::JournalEntry outcome(std::uint64_t sequence, std::string answer) {
  return {SequenceNumber(sequence), Epoch(3),
          program::OutcomeEntry{CallNumber(7), program::CallStatus::Completed, 300, 2100,
                                std::move(answer)}};
}

program::AppendRequest append(std::vector<program::JournalEntry> entries) {
  return {someProgram(), program::GroupVersion(1), Epoch(3), NodeId(42),
          std::nullopt,  std::move(entries)};
}

program::ProgramRecord record(int calls) {
  program::ProgramRecord value{{"zone-1", "press-a", "order-17"}, {200, 400000, 7200}, {}, false};
  for (int call = 0; call < calls; ++call) {
    value.entries.push_back(intent(value.entries.size() + 1, ""));
    value.entries.push_back(outcome(value.entries.size() + 1, ""));
  }
  return value;
}

membership::Piggyback piggyback(std::size_t updates) {
  membership::Piggyback value;
  value.senderIncarnation = Incarnation(kStartMicroseconds);
  value.bundleInForce = BundleVersion(2300);
  for (std::size_t index = 0; index < updates; ++index) {
    value.updates.push_back({NodeId(static_cast<std::uint32_t>(index)),
                             Incarnation(kStartMicroseconds), membership::MemberState::Suspected,
                             0});
  }
  return value;
}

engine::LoadDigest digest(std::size_t replicas) {
  return {std::vector<engine::ReplicaLoad>(replicas, {0x12345678, 8, 3, 700, 900})};
}

std::vector<Sample> samples() {
  using membership::MembershipMessage;
  using program::JournalMessage;
  const std::string text(400, 'x');
  const ProgramId program = someProgram();
  const membership::ProbeRequest probe{9, piggyback(0)};
  return {
      {"probe_request", MembershipMessage(probe)},
      {"probe_reply", MembershipMessage(membership::ProbeReply{9, piggyback(0)})},
      {"probe_reply_2_updates", MembershipMessage(membership::ProbeReply{9, piggyback(2)})},
      {"probe_reply_8_updates", MembershipMessage(membership::ProbeReply{9, piggyback(8)})},
      {"indirect_probe",
       MembershipMessage(membership::IndirectProbeRequest{9, NodeId(4), piggyback(0)})},
      {"append_intent", JournalMessage(append({intent(13, "")}))},
      {"append_outcome", JournalMessage(append({outcome(14, "")}))},
      {"append_outcome_intent", JournalMessage(append({outcome(14, ""), intent(15, "")}))},
      {"append_outcome_400_byte_answer", JournalMessage(append({outcome(14, text)}))},
      {"append_reply",
       JournalMessage(program::AppendReply{program, Epoch(3), program::AppendVerdict::Stored,
                                           SequenceNumber(14), Epoch(3)})},
      {"seal_request",
       JournalMessage(program::SealRequest{program, program::GroupVersion(1), Epoch(4), NodeId(42),
                                           Incarnation(kStartMicroseconds)})},
      {"seal_granted_empty",
       JournalMessage(program::SealReply{program, Epoch(4), program::SealGranted{}})},
      {"seal_granted_10_calls",
       JournalMessage(
           program::SealReply{program, Epoch(4), program::SealGranted{Epoch(3), record(10)}})},
      {"release_notice", JournalMessage(program::ReleaseNotice{program, Epoch(3)})},
      {"bundle_fetch", bundle::DistributionMessage(bundle::BundleFetchRequest{BundleVersion(5)})},
      {"load_digest_8", engine::ObservationMessage(digest(8))},
      {"load_digest_32", engine::ObservationMessage(digest(32))},
  };
}

double nanosecondsEach(Clock::time_point start) {
  const auto spent = std::chrono::duration<double, std::nano>(Clock::now() - start);
  return spent.count() / kRounds;
}

void measure(const Sample& sample) {
  const wire::PeerFrame frame{NodeId(42), Incarnation(kStartMicroseconds), sample.message};
  std::vector<std::uint8_t> bytes;
  const Clock::time_point encodeStart = Clock::now();
  for (int round = 0; round < kRounds; ++round) {
    bytes = wire::encodeFrame(frame);
  }
  const double encode = nanosecondsEach(encodeStart);
  const auto buffer = std::span<const std::uint8_t>(bytes).subspan(wire::kLengthPrefixBytes);
  std::size_t decoded = 0;
  const Clock::time_point decodeStart = Clock::now();
  for (int round = 0; round < kRounds; ++round) {
    decoded += succeeded(wire::decodeFrame(buffer)) ? 1 : 0;
  }
  const double decode = nanosecondsEach(decodeStart);
  std::printf("%-32s %8zu %10.0f %10.0f %s\n", sample.name, bytes.size(), encode, decode,
              decoded == kRounds ? "" : "NOT DECODED");
}

}  // namespace

int main() {
  std::printf("%-32s %8s %10s %10s\n", "message", "bytes", "encode_ns", "decode_ns");
  for (const Sample& sample : samples()) {
    measure(sample);
  }
  return 0;
}
