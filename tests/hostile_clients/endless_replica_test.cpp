// Fifty replicas that send bytes which are no answer, without end, until the node closes: it keeps
// within its memory, and requests at sound replicas go on.
#include "lab/hostile/raw_replica.h"

#include "hostile_group.h"

using namespace gorsetrail;
using namespace gorsetrail::lab;
using namespace gorsetrail::lab::testing;

namespace {

constexpr std::size_t kFaultyReplicas = 50;
constexpr std::size_t kRequests = 150;
constexpr std::size_t kPieceBytes = std::size_t{64} * 1024;

std::string repeated(const std::string& part) {
  std::string text;
  while (text.size() < kPieceBytes) {
    text += part;
  }
  return text;
}

}  // namespace

TEST_GROUP_BASE(EndlessReplica, HostileGroup) {
  std::vector<std::unique_ptr<RawReplica>> faulty;
  http::HttpClientPtr client;
  std::size_t ended = 0;
  std::size_t succeeded = 0;
  std::size_t peakUnread = 0;  ///< Of all connections to replicas.

  void setup() override {
    settings.maximumDescriptors = 1024;
    HostileGroup::setup();
    client = http::makeHttpClient(world->context());
  }
  void teardown() override {
    faulty.clear();
    client.reset();
    HostileGroup::teardown();
  }
  void send(const std::string& path) {
    http::ResponseHandler handler;
    handler.onDone = [this](const http::Response& response) {
      ++ended;
      succeeded += response.status == 200 ? 1 : 0;
    };
    handler.onFailure = [this](const http::Failure&) { ++ended; };
    client->send(world->ordinaryRequest(path, 100), std::move(handler));
  }
  /// One request is held by a sound replica while the faulty ones get theirs.
  /// \param head of the answers; ID stands for the request's.
  void play(const std::string& head, const std::string& piece, const std::string& path) {
    for (const auto& replica : world->replicas()) {
      replica->hold("/unsafe/held");
    }
    send("/unsafe/held");
    CHECK_TRUE(world->runUntil([this] { return heldRuns() == 1; }));
    addFaultyReplicas(head, piece);
    for (std::size_t number = 0; number < kRequests; ++number) {
      send(path + std::to_string(number));
    }
    CHECK_TRUE(world->runUntil([this] {
      observeReplicaConnections();
      return ended >= kRequests;
    }));
    for (const auto& replica : world->replicas()) {
      replica->hold("");
    }
    CHECK_TRUE(world->runUntil([this] { return ended == kRequests + 1; }));
    CHECK(succeeded >= 1);
    CHECK_TRUE(world->node().isRunning());
    checkMemory();
    CHECK_COMPARE(world->peakDescriptors(), <=, settings.maximumDescriptors);
    checkFaultyReplicas();
  }
  /// Both ends of connections to replicas have the address of the loopback device.
  void observeReplicaConnections() {
    const std::string ip = "127.0.0.1";
    peakUnread = std::max(peakUnread, unreadBytesAt({ip})[ip]);
  }
  std::size_t heldRuns() const {
    std::size_t runs = 0;
    for (const auto& replica : world->replicas()) {
      for (const auto& [id, request] : replica->requests) {
        runs += request.target == "/unsafe/held" ? 1 : 0;
      }
    }
    return runs;
  }
  void addFaultyReplicas(const std::string& head, const std::string& piece) {
    for (std::size_t number = 0; number < kFaultyReplicas; ++number) {
      faulty.push_back(std::make_unique<RawReplica>(
          world->context(), [head](const std::string&, const std::string& requestId) {
            std::string answer = head;
            const std::size_t at = answer.find("ID");
            return at == std::string::npos ? answer : answer.replace(at, 2, requestId);
          }));
      faulty.back()->endless = piece;
      world->registerReplica("f-" + std::to_string(number),
                             faulty.back()->registration(HostileWorld::kService));
    }
    // The sound ones finish what they have. Until the node sends to the faulty ones:
    for (std::size_t number = 0; number < world->replicas().size(); ++number) {
      std::string leaving = world->replicas()[number]->registration(HostileWorld::kService);
      leaving.replace(leaving.find("ready"), 5, "draining");
      world->registerReplica("i-" + std::to_string(number), leaving);
    }
    CHECK_TRUE(world->runUntil(
        [this] { return world->send(world->ordinaryRequest("/unsafe/first", 1)).status != 200; }));
  }
  void checkFaultyReplicas() {
    std::size_t used = 0;
    std::size_t bytes = 0;
    for (const auto& replica : faulty) {
      used += replica->requestIds.empty() ? 0 : 1;
      bytes += replica->endlessBytes;
    }
    UT_PRINT(StringFromFormat("%d replicas sent %d MB, unread %d KB", static_cast<int>(used),
                              static_cast<int>(bytes / kMegabyte),
                              static_cast<int>(peakUnread / 1024)));
    CHECK(used > kFaultyReplicas / 4);
    CHECK(bytes > 0);
  }
};

TEST(EndlessReplica, bytesThatAreNoHttp) { play("x", repeated("x"), "/unsafe/"); }

TEST(EndlessReplica, headers) {
  play("HTTP/1.1 200 OK\r\n", repeated("X-More: yes\r\n"), "/unsafe/");
}

TEST(EndlessReplica, interimAnswers) {
  play("HTTP/1.1 102 Processing\r\n\r\n", repeated("HTTP/1.1 102 Processing\r\n\r\n"), "/unsafe/");
}

TEST(EndlessReplica, aChunkLine) {
  play("HTTP/1.1 200 OK\r\nGorsetrail-Request-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n1;",
       repeated("x"), "/unsafe/");
}

TEST(EndlessReplica, trailers) {
  play(
      "HTTP/1.1 200 OK\r\nGorsetrail-Request-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n"
      "1\r\nx\r\n0\r\n",
      repeated("X-More: yes\r\n"), "/unsafe/");
}

TEST(EndlessReplica, aBodyBehindALength) {
  play("HTTP/1.1 200 OK\r\nGorsetrail-Request-Id: ID\r\nContent-Length: 99999999999\r\n\r\n",
       repeated("x"), "/unsafe/");
}

TEST(EndlessReplica, aBodyWithoutALength) {
  play("HTTP/1.1 200 OK\r\nGorsetrail-Request-Id: ID\r\n\r\n", repeated("x"), "/safe/");
}

TEST(EndlessReplica, anEventWithoutEnd) {
  play(
      "HTTP/1.1 200 OK\r\nGorsetrail-Request-Id: ID\r\nContent-Type: text/event-stream\r\n\r\n"
      "id: 1\ndata: ",
      repeated("x"), "/kept/");
}

TEST(EndlessReplica, eventsWithoutEnd) {
  play("HTTP/1.1 200 OK\r\nGorsetrail-Request-Id: ID\r\nContent-Type: text/event-stream\r\n\r\n",
       repeated("id: 1\ndata: text\n\n"), "/kept/");
}
