// Replicas whose answers begin with a status that HTTP does not have.
#include "lab/hostile/raw_replica.h"

#include "hostile_group.h"

using namespace gorsetrail;
using namespace gorsetrail::lab;
using namespace gorsetrail::lab::testing;

TEST_GROUP_BASE(InvalidStatus, HostileGroup) {
  std::vector<std::unique_ptr<RawReplica>> faulty;
  std::string status = "000";
  bool tellsId = true;

  std::string answer(const std::string& requestId) const {
    return "HTTP/1.1 " + status + " Odd\r\n" +
           (tellsId ? "Gorsetrail-Request-Id: " + requestId + "\r\n" : "") +
           "Gorsetrail-Response-Seal: seal\r\nContent-Length: 4\r\n\r\nbody";
  }
  /// Four faulty replicas take the places of the sound ones.
  void setup() override {
    HostileGroup::setup();
    for (const char* id : {"f-0", "f-1", "f-2", "f-3"}) {
      faulty.push_back(std::make_unique<RawReplica>(
          world->context(), [this](const std::string& target, const std::string& requestId) {
            return target == "/ready/" ? std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                                       : answer(requestId);
          }));
      world->registerReplica(id, faulty.back()->registration(HostileWorld::kService));
    }
    for (const char* id : {"i-0", "i-1"}) {
      world->registerReplica(id, "");
    }
    // Until the node sends to the faulty ones only.
    CHECK_TRUE(world->runUntil([this] {
      return world->send(world->ordinaryRequest("/unsafe/begin", 1)).status == 502 &&
             world->send(world->ordinaryRequest("/unsafe/begin2", 1)).status == 502;
    }));
  }
  void teardown() override {
    faulty.clear();
    HostileGroup::teardown();
  }
  std::size_t runs() const {
    std::size_t count = 0;
    for (const auto& replica : faulty) {
      count += replica->requestIds.size();
    }
    return count;
  }
  bool hasSeal(const SoundAnswer& answer) const {
    for (const http::Header& header : answer.headers) {
      if (header.name == "Gorsetrail-Response-Seal") {
        return true;
      }
    }
    return false;
  }
};

TEST(InvalidStatus, anUnsafeRequestIsFailedOnceWithoutTheReplicasWords) {
  for (const char* odd : {"000", "099", "600", "999"}) {
    status = odd;
    const std::size_t before = runs();
    const SoundAnswer got = world->send(world->ordinaryRequest(std::string("/unsafe/") + odd, 10));
    LONGS_EQUAL(502, got.status);
    LONGS_EQUAL(before + 1, runs());
    CHECK_FALSE(hasSeal(got));
    CHECK_TRUE(got.body.find("body") == std::string::npos);
  }
}

TEST(InvalidStatus, aReplicaThatAnsweredHasNotEnded) {
  for (int attempt = 0; attempt < 8; ++attempt) {
    const std::size_t before = runs();
    LONGS_EQUAL(502, world->send(world->ordinaryRequest("/unsafe/same", 10)).status);
    LONGS_EQUAL(before + 1, runs());
  }
}

TEST(InvalidStatus, aSafeRequestIsTriedAtAnotherReplica) {
  const std::size_t before = runs();
  LONGS_EQUAL(502, world->send(world->ordinaryRequest("/safe/1", 10)).status);
  LONGS_EQUAL(before + 2, runs());
}

TEST(InvalidStatus, aTurnIsNeitherStreamedNorKept) {
  http::Request request = world->ordinaryRequest("/kept/1", 10);
  const std::string requestId = request.headers[1].value;
  const SoundAnswer got = world->send(std::move(request));
  LONGS_EQUAL(502, got.status);
  CHECK_FALSE(hasSeal(got));
  http::Request next = world->ordinaryRequest("/kept/1", 10);
  next.headers.push_back({"Gorsetrail-Previous-Turn", requestId});
  LONGS_EQUAL(404, world->send(std::move(next)).status);
}

TEST(InvalidStatus, withoutAnIdItIsNoAnswerOfASuccess) {
  tellsId = false;
  const SoundAnswer got = world->send(world->ordinaryRequest("/unsafe/anonymous", 10));
  CHECK_TRUE(got.status == 502 || got.status == 504);
  CHECK_FALSE(hasSeal(got));
}
