// Guards against lost or excessive load digests, over loopback.
#include "edge/load_exchange.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>
// Include after the standard headers, because CppUTest redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;

TEST_GROUP(LoadExchange) {
  boost::asio::io_context context{1};
  std::vector<std::unique_ptr<LoadExchange>> receivers;
  std::vector<routing::LoadDigest> received;
  Instant now{seconds(100)};

  void teardown() override {
    receivers.clear();
    context.restart();
    context.poll();
  }
  /// \return addresses of new receivers, whose digests are added to `received`.
  std::vector<std::string> listen(int count, int firstIp) {
    std::vector<std::string> addresses;
    for (int receiver = 0; receiver < count; ++receiver) {
      const std::string address = "127.0.2." + std::to_string(firstIp + receiver) + ":21790";
      receivers.push_back(std::make_unique<LoadExchange>(
          context, LoadExchangeKnobs{}, 1, routing::RegionHash{0},
          [this](routing::LoadDigest digest) { received.push_back(std::move(digest)); }));
      CHECK_TRUE(succeeded(receivers.back()->listen(address)));
      addresses.push_back(address);
    }
    return addresses;
  }
  void receiveAll() {
    context.restart();
    context.run_for(std::chrono::milliseconds(200));
  }
};

TEST(LoadExchange, sendsToAllPeersOfTheRegionAndToFewOfOthers) {
  LoadExchange sender(context, {}, 1, routing::regionHashOf("west"), [](routing::LoadDigest) {});
  CHECK_TRUE(succeeded(sender.listen("127.0.2.1:21790")));
  const LoadPeers peers{listen(4, 10), listen(6, 20)};
  const auto replica = std::make_shared<routing::Replica>();
  replica->entry.id = "a";
  replica->inFlight = 3;
  sender.send({replica}, peers, now);
  receiveAll();
  LONGS_EQUAL(4 + LoadExchangeKnobs{}.maximumOtherRegionPeers, received.size());
  for (const routing::LoadDigest& digest : received) {
    CHECK(digest.region == routing::regionHashOf("west"));
    LONGS_EQUAL(3, digest.loads.front().inFlight);
  }
  sender.send({replica}, peers, now);
  receiveAll();
  LONGS_EQUAL(4 + LoadExchangeKnobs{}.maximumOtherRegionPeers,
              received.size());  // Nothing has changed.
}

TEST(LoadExchange, countsUndecodableDatagrams) {
  const std::vector<std::string> addresses = listen(1, 40);
  DatagramSocket otherSender(context, [](const DatagramSocket::Endpoint&, std::string_view) {});
  CHECK_TRUE(succeeded(otherSender.listen("127.0.2.3:21790")));
  const std::string digest = encodeLoadDigest({});
  for (const std::string& bytes :
       {std::string("x"), std::string(1000, '\xff'), digest.substr(0, digest.size() / 2)}) {
    otherSender.send(addresses.front(), bytes);
  }
  otherSender.send(addresses.front(), digest);
  receiveAll();
  LONGS_EQUAL(1, received.size());
  LONGS_EQUAL(3, receivers.front()->unreadableDigests());
}
