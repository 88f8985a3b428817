#include "lab/faultsoak/crowd_plan.h"

#include <algorithm>
#include <string>

#include "base/random.h"
#include "lab/emulator/program_plan.h"

namespace gorsetrail::lab {
namespace {

constexpr std::uint64_t kCrowdStream = 7;
constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
constexpr std::size_t kBodyBytes = 4 * kMegabyte;
constexpr std::size_t kKilobyte = 1024;
/// With bodies of `kBodyBytes` more than a node of the soak has memory.
constexpr std::size_t kBodies = 40;
/// More than a node takes.
constexpr std::size_t kConnections = 400;
constexpr char kPath[] = "/unsafe/hostile";
constexpr char kRequestId[] = "hostile";
constexpr Duration kQuietCrowd = milliseconds(1200);

HostileScript unfinishedChunks(std::size_t chunkBytes, std::size_t bodyBytes) {
  HostileScript script;
  script.head = chunkedHead(kPath, kRequestId);
  script.piece = chunkOf(std::string(chunkBytes, 'x'));
  script.bytesOfPieces = bodyBytes / chunkBytes * script.piece.size();
  script.returns = 2;
  return script;
}

HostileScript announcedBody() {
  HostileScript script;
  script.head = announcedHead(kPath, kRequestId, kBodyBytes);
  script.piece = std::string(kKilobyte, 'x');
  script.bytesOfPieces = kBodyBytes - kKilobyte;
  script.returns = 2;
  return script;
}

HostileScript endless(const std::string& begin, const std::string& piece) {
  HostileScript script;
  script.head = chunkedHead(kPath, kRequestId) + begin;
  script.piece = piece;
  script.bytesOfPieces = 32 * kMegabyte;
  return script;
}

HostileScript onlyHead(const std::string& head) {
  HostileScript script;
  script.head = head;
  script.returns = 1;
  return script;
}

/// Whole requests that are refused, since they have no id.
HostileScript pipelined() {
  HostileScript script;
  script.piece = "POST /unsafe/hostile HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";
  script.bytesOfPieces = kMegabyte / 2;
  return script;
}

}  // namespace

std::string_view crowdKindName(CrowdKind kind) {
  constexpr std::array<std::string_view, kCrowdKinds> kNames = {
      "announced_bodies", "large_chunks",     "chunks_of_one_byte", "trailers", "chunk_extension",
      "idle_connections", "unfinished_heads", "pipelined",          "traces"};
  return kNames[static_cast<std::size_t>(kind)];
}

CrowdScript crowdScript(CrowdKind kind) {
  switch (kind) {
    case CrowdKind::AnnouncedBodies:
      return {announcedBody(), kBodies};
    case CrowdKind::LargeChunks:
      return {unfinishedChunks(64 * kKilobyte, kBodyBytes - kMegabyte), kBodies};
    case CrowdKind::ChunksOfOneByte:
      return {unfinishedChunks(1, kMegabyte / 4), kBodies};
    case CrowdKind::Trailers:
      return {
          endless(chunkOf("body") + "0\r\n", "X-Trailer: " + std::string(kKilobyte, 't') + "\r\n"),
          8};
    case CrowdKind::ChunkExtension:
      return {endless("4;extension=", std::string(kKilobyte, 'e')), 8};
    case CrowdKind::IdleConnections:
      return {onlyHead(""), kConnections};
    case CrowdKind::UnfinishedHeads:
      return {onlyHead("POST /unsafe/hostile HTTP/1.1\r\nHost: h\r\nX-Slow: "), kConnections};
    case CrowdKind::Pipelined:
      return {pipelined(), kBodies};
    case CrowdKind::Traces:
      break;
  }
  return {onlyHead("TRACE /safe/hostile HTTP/1.1\r\nHost: h\r\nGorsetrail-Request-Id: hostile\r\n"
                   "Content-Length: 4\r\n\r\nbody"),
          4};
}

std::vector<PlannedCrowd> planCrowds(std::uint64_t seed, Duration length, std::size_t nodes) {
  constexpr std::uint64_t kShortestPauseMs = 800;
  constexpr std::uint64_t kPauseRangeMs = 2000;
  constexpr std::uint64_t kShortestMs = 500;
  constexpr std::uint64_t kRangeMs = 3000;
  RandomSource random(emulator::streamSeed(seed, kCrowdStream));
  std::vector<PlannedCrowd> crowds;
  Duration at{};
  while (at < length) {
    PlannedCrowd crowd;
    crowd.at = at;
    crowd.duration = milliseconds(static_cast<int>(kShortestMs + random.below(kRangeMs)));
    crowd.node = random.below(nodes);
    crowd.kind = static_cast<CrowdKind>(random.below(kCrowdKinds));
    crowds.push_back(crowd);
    at += milliseconds(static_cast<int>(kShortestPauseMs + random.below(kPauseRangeMs)));
  }
  return crowds;
}

std::vector<PlannedCrowd> planQuietCrowds(std::uint64_t seed, std::size_t nodes) {
  RandomSource random(emulator::streamSeed(seed, kCrowdStream + 1));
  std::vector<PlannedCrowd> crowds;
  for (std::size_t kind = 0; kind < kCrowdKinds; ++kind) {
    PlannedCrowd crowd;
    crowd.at = static_cast<int>(kind) * kQuietCrowd;
    crowd.duration = kQuietCrowd;
    crowd.node = random.below(nodes);
    crowd.kind = static_cast<CrowdKind>(kind);
    crowds.push_back(crowd);
  }
  return crowds;
}

}  // namespace gorsetrail::lab
