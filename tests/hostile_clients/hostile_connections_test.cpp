// Crowds that occupy a node's connections, or send what a library takes exception to.
#include <csignal>
#include <vector>

#include "hostile_group.h"

using namespace gorsetrail;
using namespace gorsetrail::lab;
using namespace gorsetrail::lab::testing;

TEST_GROUP_BASE(HostileConnections, HostileGroup) {
  /// As many as there are descriptors in all, less those of this process's limit.
  static constexpr std::size_t kConnections = 620;

  static HostileScript unfinishedHead() {
    HostileScript script;
    script.head = "POST /unsafe/1 HTTP/1.1\r\nHost: h\r\nX-Slow: ";
    return script;
  }
};

TEST(HostileConnections, idleOnesGiveWayToNewClients) {
  play(kConnections, HostileScript{});
  checkNodeIsSound();
}

TEST(HostileConnections, unfinishedHeadsGiveWayToNewClients) {
  play(kConnections, unfinishedHead());
  checkNodeIsSound();
}

TEST(HostileConnections, thoseOfAllListenersTogetherAreBounded) {
  std::vector<std::unique_ptr<HostileCrowd>> others;
  const NodeProcessSettings& settings = world->settings();
  for (const std::uint16_t port : {settings.readinessPort, settings.directoryPort,
                                   settings.metricsPort, settings.firstInternalPort}) {
    others.push_back(std::make_unique<HostileCrowd>(world->context(), settings.addressOf(port)));
    others.back()->join(kConnections / 3, HostileScript{});
    world->playUntilQuiet(*others.back());
  }
  play(kConnections / 3, unfinishedHead());
  checkNodeIsSound();
}

TEST(HostileConnections, tracesWithABodyEndNoProcess) {
  HostileScript script;
  script.head =
      "TRACE /safe/1 HTTP/1.1\r\nHost: h\r\nGorsetrail-Request-Id: hostile\r\n"
      "Content-Length: 4\r\n\r\nbody";
  play(3, script);
  checkNodeIsSound();
}

TEST(HostileConnections, headersOverThe16BitLimitEndNoProcess) {
  WorldLimits limits;
  limits.maximumHeadBytes = 256 * 1024;
  world->publish(limits);
  HostileScript script;
  script.head = "POST /safe/1 HTTP/1.1\r\nHost: h\r\nGorsetrail-Request-Id: hostile\r\nX-Long: " +
                std::string(100 * 1024, 'x') + "\r\nContent-Length: 0\r\n\r\n";
  play(3, script);
  checkNodeIsSound();
}

TEST(HostileConnections, aCrowdBesideAStopLetsTheProcessEnd) {
  HostileScript body;
  body.head = announcedHead("/unsafe/1", "hostile", kLargestBody);
  body.piece = std::string(1024, 'x');
  body.bytesOfPieces = kLargestBody - 1024;
  crowd->join(20, body);
  play(20, unfinishedHead());
  world->node().signal(SIGTERM);
  CHECK_TRUE(world->runUntil([this] { return !world->node().isRunning(); }));
}
