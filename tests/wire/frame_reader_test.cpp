#include "wire/codec.h"

#include "frame_generators.h"

#include "property.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using wire::testing::FrameGenerator;

TEST_GROUP(FrameReader){};

TEST(FrameReader, SplitsAStreamReceivedInArbitraryPieces) {
  CHECK(holds([](std::uint64_t seed) {
    FrameGenerator generator(seed);
    std::vector<std::uint8_t> stream;
    std::vector<std::vector<std::uint8_t>> wanted;
    for (int frame = 0; frame < 5; ++frame) {
      const std::vector<std::uint8_t> bytes = wire::encodeFrame(generator.anyFrame());
      stream.insert(stream.end(), bytes.begin(), bytes.end());
      wanted.emplace_back(bytes.begin() + wire::kLengthPrefixBytes, bytes.end());
    }
    wire::FrameReader reader;
    std::vector<std::vector<std::uint8_t>> got;
    std::vector<std::uint8_t> frame;
    for (std::size_t place = 0; place < stream.size();) {
      const std::size_t part =
          std::min<std::size_t>(1 + generator.random().below(300), stream.size() - place);
      RC_ASSERT(succeeded(reader.feed(std::span(stream).subspan(place, part))));
      place += part;
      // Only sometimes, so that several frames are buffered between two feeds.
      while (generator.random().below(4) != 0 && reader.next(frame)) {
        got.push_back(frame);
      }
    }
    while (reader.next(frame)) {
      got.push_back(frame);
    }
    RC_ASSERT(got == wanted);
    RC_ASSERT(reader.pendingBytes() == 0U);
  }));
}

TEST(FrameReader, RefusesATooLongFrameBeforeItsBytesArrive) {
  wire::FrameReader reader;
  const std::uint32_t length = wire::kMaximumFrameBytes + 1;
  std::vector<std::uint8_t> prefix(wire::kLengthPrefixBytes);
  for (std::size_t index = 0; index < prefix.size(); ++index) {
    prefix[index] = static_cast<std::uint8_t>(length >> (8 * index));
  }
  const Result<Success> result = reader.feed(prefix);
  CHECK_FALSE(succeeded(result));
  CHECK(errorOf(result).kind == ErrorKind::InvalidFrame);
}

TEST(FrameReader, RefusesATooLongFrameAfterAValidOne) {
  std::vector<std::uint8_t> stream = wire::encodeFrame(FrameGenerator(2).anyFrame());
  stream.insert(stream.end(), {0xFF, 0xFF, 0xFF, 0xFF});
  wire::FrameReader reader;
  CHECK_FALSE(succeeded(reader.feed(stream)));
}

TEST(FrameReader, RefusesAnEmptyFrame) {
  wire::FrameReader reader;
  CHECK_FALSE(succeeded(reader.feed(std::vector<std::uint8_t>(4))));
}

TEST(FrameReader, AcceptsTheLongestFrame) {
  std::vector<std::uint8_t> stream{0, 0, 0x40, 0};
  stream.resize(wire::kLengthPrefixBytes + wire::kMaximumFrameBytes);
  wire::FrameReader reader;
  CHECK(succeeded(reader.feed(stream)));
  std::vector<std::uint8_t> frame;
  CHECK(reader.next(frame));
  LONGS_EQUAL(wire::kMaximumFrameBytes, frame.size());
}
