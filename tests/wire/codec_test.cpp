#include "wire/codec.h"

#include "frame_generators.h"
#include "frame_text.h"
#include "wire/generated/gorsetrail_generated.h"

#include "property.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using wire::testing::FrameGenerator;
using wire::testing::FrameText;

namespace {

std::span<const std::uint8_t> bufferOf(const std::vector<std::uint8_t>& bytes) {
  return std::span(bytes).subspan(wire::kLengthPrefixBytes);
}

/// Decodes, and checks that any error is `InvalidFrame`.
/// \return whether a frame was decoded.
bool decodesOrRefuses(std::span<const std::uint8_t> buffer) {
  const Result<wire::PeerFrame> result = wire::decodeFrame(buffer);
  if (succeeded(result)) {
    return true;
  }
  RC_ASSERT(errorOf(result).kind == ErrorKind::InvalidFrame);
  RC_ASSERT(!errorOf(result).remedy.empty());
  return false;
}

void refuses(std::span<const std::uint8_t> buffer) {
  const Result<wire::PeerFrame> result = wire::decodeFrame(buffer);
  CHECK_FALSE(succeeded(result));
  CHECK(errorOf(result).kind == ErrorKind::InvalidFrame);
}

/// Checks that the encoded `message`, which violates a protocol limit, is rejected.
void refusesMessage(wire::PeerMessage message) {
  refuses(bufferOf(wire::encodeFrame({NodeId(1), Incarnation(1), std::move(message)})));
}

}  // namespace

TEST_GROUP(Codec){};

TEST(Codec, EveryMessageKindRoundTrips) {
  for (std::uint64_t alternative = 0; alternative < FrameGenerator::kAlternatives; ++alternative) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      const wire::PeerFrame frame = FrameGenerator(seed).frame(alternative);
      const std::vector<std::uint8_t> bytes = wire::encodeFrame(frame);
      const Result<wire::PeerFrame> decoded = wire::decodeFrame(bufferOf(bytes));
      CHECK(succeeded(decoded));
      STRCMP_EQUAL(FrameText::of(frame).c_str(), FrameText::of(valueOf(decoded)).c_str());
    }
  }
}

TEST(Codec, PrefixHoldsTheLengthOfTheRest) {
  const std::vector<std::uint8_t> bytes = wire::encodeFrame(FrameGenerator(1).anyFrame());
  const std::size_t length = bytes[0] | bytes[1] << 8 | bytes[2] << 16 | bytes[3] << 24;
  LONGS_EQUAL(bytes.size() - wire::kLengthPrefixBytes, length);
}

TEST(Codec, AnyFrameRoundTripsAtAnyAlignment) {
  CHECK(holds([](std::uint64_t seed) {
    const wire::PeerFrame frame = FrameGenerator(seed).anyFrame();
    const std::vector<std::uint8_t> bytes = wire::encodeFrame(frame);
    std::vector<std::uint8_t> shifted(seed % 8, 0xAA);
    shifted.insert(shifted.end(), bufferOf(bytes).begin(), bufferOf(bytes).end());
    const auto decoded = wire::decodeFrame(std::span(shifted).subspan(seed % 8));
    RC_ASSERT(succeeded(decoded));
    RC_ASSERT(FrameText::of(frame) == FrameText::of(valueOf(decoded)));
  }));
}

TEST(Codec, MutatedBytesNeverCrash) {
  std::uint64_t refused = 0;
  CHECK(holds([&refused](std::uint64_t seed) {
    FrameGenerator generator(seed);
    std::vector<std::uint8_t> bytes = wire::encodeFrame(generator.anyFrame());
    for (std::uint64_t left = 1 + generator.random().below(8); left > 0; --left) {
      const std::size_t place = wire::kLengthPrefixBytes +
                                generator.random().below(bytes.size() - wire::kLengthPrefixBytes);
      bytes[place] = static_cast<std::uint8_t>(generator.random().below(256));
    }
    refused += decodesOrRefuses(bufferOf(bytes)) ? 0 : 1;
  }));
  CHECK(refused > 0);
}

TEST(Codec, TruncatedFramesAreRefusedOrDecodeSafely) {
  for (std::uint64_t alternative = 0; alternative < FrameGenerator::kAlternatives; ++alternative) {
    const std::vector<std::uint8_t> bytes = wire::encodeFrame(FrameGenerator(7).frame(alternative));
    const auto whole = bufferOf(bytes);
    for (std::size_t length = 0; length < whole.size(); ++length) {
      // A copy of exactly this length, so that a sanitizer detects reads past the end.
      const std::vector<std::uint8_t> cut(whole.begin(),
                                          whole.begin() + static_cast<std::ptrdiff_t>(length));
      decodesOrRefuses(cut);
    }
    refuses(whole.first(7));
    refuses(whole.first(whole.size() / 2));
  }
}

TEST(Codec, RandomBytesAreRefused) {
  CHECK(holds([](std::uint64_t seed) {
    const std::string bytes = FrameGenerator(seed).text(2000);
    RC_ASSERT(!decodesOrRefuses(std::vector<std::uint8_t>(bytes.begin(), bytes.end())));
  }));
}

TEST(Codec, RandomBytesAfterTheIdentifierNeverCrash) {
  CHECK(holds([](std::uint64_t seed) {
    FrameGenerator generator(seed);
    const std::string tail = generator.text(200);
    std::vector<std::uint8_t> bytes{8, 0, 0, 0, 'G', 'T', 'R', '1'};
    bytes.insert(bytes.end(), tail.begin(), tail.end());
    decodesOrRefuses(bytes);
  }));
}

TEST(Codec, OtherIdentifierIsRefused) {
  std::vector<std::uint8_t> bytes = wire::encodeFrame(FrameGenerator(3).anyFrame());
  bytes[wire::kLengthPrefixBytes + 7] = '2';
  refuses(bufferOf(bytes));
}

TEST(Codec, EnumerationsOutOfRangeAreRefused) {
  membership::ProbeReply reply;
  reply.piggyback.updates.push_back(
      {NodeId(2), Incarnation(3), static_cast<membership::MemberState>(5), 0});
  refusesMessage(membership::MembershipMessage(reply));
  program::AppendReply append;
  append.verdict = static_cast<program::AppendVerdict>(4);
  refusesMessage(program::JournalMessage(append));
  program::AppendRequest request;
  request.entries.push_back(
      {SequenceNumber(1), Epoch(1),
       program::OutcomeEntry{CallNumber(1), static_cast<program::CallStatus>(9), 0, 0, ""}});
  refusesMessage(program::JournalMessage(request));
}

TEST(Codec, ListsOverTheirBoundsAreRefused) {
  membership::ProbeRequest updates;
  updates.piggyback.updates.resize(membership::kMaximumUpdates + 1);
  refusesMessage(membership::MembershipMessage(updates));
  membership::ProbeRequest notices;
  notices.piggyback.notices.resize(membership::kMaximumNotices + 1);
  refusesMessage(membership::MembershipMessage(notices));
  engine::LoadDigest digest;
  digest.replicas.resize(engine::kMaximumReplicas + 1);
  refusesMessage(engine::ObservationMessage(digest));
  program::SealReply reply;
  reply.verdict = program::GroupChanged{program::GroupVersion(1), std::vector<NodeId>(65)};
  refusesMessage(program::JournalMessage(reply));
}

TEST(Codec, UnknownUnionTypesAreRefused) {
  flatbuffers::FlatBufferBuilder builder;
  const auto notice = wire::fbs::CreateBundleFetchRequest(builder, 1);
  builder.Finish(
      wire::fbs::CreateFrame(builder, 1, static_cast<wire::fbs::Message>(200), notice.Union(), 1),
      wire::fbs::FrameIdentifier());
  refuses({builder.GetBufferPointer(), builder.GetSize()});
}

TEST(Codec, EntryOfTwoKindsIsRefused) {
  flatbuffers::FlatBufferBuilder builder;
  const wire::fbs::IntentIds intent;
  const wire::fbs::OutcomeFacts outcome;
  const auto entry = wire::fbs::CreateEntry(builder, &intent, &outcome);
  const auto entries = builder.CreateVector(std::vector{entry});
  const wire::fbs::AppendIds ids;
  const auto request = wire::fbs::CreateAppendRequest(builder, &ids, entries);
  builder.Finish(
      wire::fbs::CreateFrame(builder, 1, wire::fbs::Message::AppendRequest, request.Union(), 1),
      wire::fbs::FrameIdentifier());
  refuses({builder.GetBufferPointer(), builder.GetSize()});
}

TEST(Codec, TablesThatShareOneLongTextAreRefused) {
  constexpr std::size_t kTextBytes = 100'000;
  constexpr std::size_t kEntries = 5'000;
  flatbuffers::FlatBufferBuilder builder;
  const auto text = builder.CreateString(std::string(kTextBytes, 'x'));
  const wire::fbs::OutcomeFacts facts;
  const auto entry = wire::fbs::CreateEntry(builder, nullptr, &facts, text);
  const auto entries = builder.CreateVector(std::vector(kEntries, entry));
  const wire::fbs::AppendIds ids;
  const auto request = wire::fbs::CreateAppendRequest(builder, &ids, entries);
  builder.Finish(
      wire::fbs::CreateFrame(builder, 1, wire::fbs::Message::AppendRequest, request.Union(), 1),
      wire::fbs::FrameIdentifier());
  // Without the limit on text bytes, decoding this 120 kB frame would allocate 500 MB.
  refuses({builder.GetBufferPointer(), builder.GetSize()});
}

TEST(Codec, TooLongBufferIsRefused) {
  const std::vector<std::uint8_t> bytes(wire::kMaximumFrameBytes + 1);
  refuses(bytes);
}

TEST(Codec, LongestRecordsOfAProgramFit) {
  program::ProgramRecord record;
  for (std::uint32_t call = 1; call <= 10'000; ++call) {
    record.entries.push_back({SequenceNumber(2 * call - 1), Epoch(1), program::IntentEntry{}});
    record.entries.push_back({SequenceNumber(2 * call), Epoch(1), program::OutcomeEntry{}});
  }
  program::AppendRequest request;
  request.base = record;
  const auto bytes =
      wire::encodeFrame({NodeId(1), Incarnation(1), program::JournalMessage(request)});
  const auto decoded = wire::decodeFrame(bufferOf(bytes));
  CHECK(succeeded(decoded));
}
