// Crowds that make a node keep what they send. The node's memory is that of its machine.
#include "hostile_group.h"

using namespace gorsetrail::lab;
using namespace gorsetrail::lab::testing;

TEST_GROUP_BASE(HostileMemory, HostileGroup) {
  static constexpr std::size_t kConnections = 40;

  /// Bodies that stop just short of their end, and stay open.
  static HostileScript unfinishedChunks(std::size_t chunkBytes, std::size_t bodyBytes) {
    HostileScript script;
    script.head = chunkedHead("/unsafe/1", "hostile");
    script.piece = chunkOf(std::string(chunkBytes, 'x'));
    script.bytesOfPieces = bodyBytes / chunkBytes * script.piece.size();
    return script;
  }
  static HostileScript announced(std::size_t announcedBytes, std::size_t sentBytes) {
    HostileScript script;
    script.head = announcedHead("/unsafe/1", "hostile", announcedBytes);
    script.piece = std::string(1024, 'x');
    script.bytesOfPieces = sentBytes;
    return script;
  }
};

TEST(HostileMemory, trailersWithoutEndAreBounded) {
  HostileScript script;
  script.head = chunkedHead("/unsafe/1", "hostile") + chunkOf("body") + "0\r\n";
  script.piece = "X-Trailer: " + std::string(1000, 't') + "\r\n";
  script.bytesOfPieces = 32 * kMegabyte;
  play(4, script);
  checkNodeIsSound();
}

TEST(HostileMemory, aChunkExtensionWithoutEndIsBounded) {
  HostileScript script;
  script.head = chunkedHead("/unsafe/1", "hostile") + "4;extension=";
  script.piece = std::string(1000, 'e');
  script.bytesOfPieces = 32 * kMegabyte;
  play(4, script);
  checkNodeIsSound();
}

TEST(HostileMemory, announcedBodiesThatStayOpenAreBoundedTogether) {
  play(kConnections, announced(kLargestBody, kLargestBody - 1024));
  checkNodeIsSound();
}

TEST(HostileMemory, announcedBodiesThatFallSilentAreBoundedTogether) {
  play(kConnections, announced(kLargestBody, 3 * kMegabyte));
  checkNodeIsSound();
}

TEST(HostileMemory, largeChunksThatStayOpenAreBoundedTogether) {
  play(kConnections, unfinishedChunks(64 * 1024, kLargestBody - 64 * 1024));
  checkNodeIsSound();
}

TEST(HostileMemory, chunksOfOneByteAreBoundedTogether) {
  play(kConnections, unfinishedChunks(1, 2 * kMegabyte));
  checkNodeIsSound();
}

TEST(HostileMemory, bodiesAfterContinueAreBoundedTogether) {
  HostileScript script = announced(kLargestBody, kLargestBody - 1024);
  script.head.insert(script.head.size() - 2, "Expect: 100-continue\r\n");
  play(kConnections, script);
  checkNodeIsSound();
}

TEST(HostileMemory, wholeRequestsThatWaitForTheirReplicasAreBoundedTogether) {
  for (const auto& replica : world->replicas()) {
    replica->hold("/unsafe/");
  }
  HostileScript script = announced(kLargestBody, kLargestBody - 1024);
  script.ending = std::string(1024, 'x');
  play(kConnections, script);
  checkNodeIsSound();
}

TEST(HostileMemory, wholeTurnsThatAreKeptAreBoundedTogether) {
  HostileScript script;
  script.head = announcedHead("/kept/1", "hostile", kLargestBody);
  script.head.insert(script.head.size() - 2,
                     "Gorsetrail-Program-Id: p\r\nGorsetrail-Token-Usage: 100,50\r\n");
  script.piece = std::string(1024, 'x');
  script.bytesOfPieces = kLargestBody - 1024;
  script.ending = std::string(1024, 'x');
  play(kConnections, script);
  checkNodeIsSound();
}

TEST(HostileMemory, bodiesOverTheLimitAreNotCollected) {
  HostileScript script;
  script.head = chunkedHead("/unsafe/1", "hostile");
  script.piece = chunkOf(std::string(64 * 1024, 'x'));
  script.bytesOfPieces = 8 * kLargestBody;
  play(kConnections, script);
  checkNodeIsSound();
}

TEST(HostileMemory, pipelinedRequestsThatWaitAreBounded) {
  HostileScript script;
  script.piece = announcedHead("/unsafe/1", "hostile", 2048) + std::string(2048, 'x');
  script.bytesOfPieces = kLargestBody;
  play(120, script);
  checkNodeIsSound();
}

TEST(HostileMemory, clientsThatComeBackAfterEachRefusalAreBoundedTogether) {
  HostileScript script = unfinishedChunks(64 * 1024, kLargestBody - 64 * 1024);
  script.returns = 5;
  play(kConnections, script);
  checkNodeIsSound();
}

TEST(HostileMemory, aMixedCrowdIsBoundedTogether) {
  crowd->join(10, announced(kLargestBody, kLargestBody - 1024));
  crowd->join(10, unfinishedChunks(64 * 1024, kLargestBody - 64 * 1024));
  crowd->join(10, unfinishedChunks(1, kMegabyte / 2));
  HostileScript trailers;
  trailers.head = chunkedHead("/unsafe/1", "hostile") + chunkOf("body") + "0\r\n";
  trailers.piece = "X-Trailer: " + std::string(1000, 't') + "\r\n";
  trailers.bytesOfPieces = 8 * kMegabyte;
  crowd->join(4, trailers);
  world->playUntilQuiet(*crowd);
  checkNodeIsSound();
}
