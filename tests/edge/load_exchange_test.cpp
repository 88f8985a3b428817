// Guards against lost or excessive load digests, over loopback.
#include "edge/load_exchange.h"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>
// Include after the standard headers, because CppUTest redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;

namespace {

/// All exchanges of a deployment listen on the same port. Derived from the process id, because two
/// runs of these tests at a time on one machine otherwise take each other's addresses.
std::string addressOf(const std::string& ip) {
  constexpr int kFirstPort = 20000;
  constexpr int kPorts = 10000;
  return ip + ":" + std::to_string(kFirstPort + getpid() % kPorts);
}

}  // namespace

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
      const std::string address = addressOf("127.0.2." + std::to_string(firstIp + receiver));
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
  CHECK_TRUE(succeeded(sender.listen(addressOf("127.0.2.1"))));
  const LoadPeers peers{listen(4, 10), listen(6, 20)};
  const auto replica = std::make_shared<routing::Replica>();
  replica->entry.id = "a";
  replica->inFlight = 3;
  sender.send({replica}, peers, {}, now);
  receiveAll();
  LONGS_EQUAL(4 + LoadExchangeKnobs{}.maximumOtherRegionPeers, received.size());
  for (const routing::LoadDigest& digest : received) {
    CHECK(digest.region == routing::regionHashOf("west"));
    LONGS_EQUAL(3, digest.loads.front().inFlight);
  }
  sender.send({replica}, peers, {}, now);
  receiveAll();
  LONGS_EQUAL(4 + LoadExchangeKnobs{}.maximumOtherRegionPeers,
              received.size());  // Nothing has changed.
}

// Guards against a section that is lost or scaled wrongly: nodes would then act on other figures
// than those that were measured.
TEST(LoadExchange, digestKeepsItsReports) {
  routing::LoadDigest digest;
  digest.reports.services = {{7, 120.5, 3.25, 1.75}};
  digest.reports.tenants = {{7, 9, 40}};
  digest.reports.speeds = {{11, 2.5, 6.5}};
  const auto decoded = decodeLoadDigest(encodeLoadDigest(digest));
  CHECK_TRUE(succeeded(decoded));
  const routing::LoadReports& reports = valueOf(decoded).reports;
  LONGS_EQUAL(7, reports.services.at(0).service);
  DOUBLES_EQUAL(120.5, reports.services.at(0).completedPerSecond, 0);
  DOUBLES_EQUAL(3.25, reports.services.at(0).rejectedPerSecond, 0);
  DOUBLES_EQUAL(1.75, reports.services.at(0).inflation, 0);
  LONGS_EQUAL(9, reports.tenants.at(0).tenant);
  LONGS_EQUAL(40, reports.tenants.at(0).inFlight);
  LONGS_EQUAL(11, reports.speeds.at(0).replica);
  DOUBLES_EQUAL(2.5, reports.speeds.at(0).timeFactor, 0);
  DOUBLES_EQUAL(6.5, reports.speeds.at(0).samples, 0);
}

// A digest without reports must stay as small as before, and readable by earlier builds.
TEST(LoadExchange, digestWithoutReportsHasNoReportSections) {
  routing::LoadDigest digest;
  digest.loads = {{1, 2}};
  const std::string plain = encodeLoadDigest(digest);
  digest.reports.tenants = {{7, 9, 40}};
  CHECK(plain.size() < encodeLoadDigest(digest).size());
  CHECK(valueOf(decodeLoadDigest(plain)).reports.tenants.empty());
}

TEST(LoadExchange, countsUndecodableDatagrams) {
  const std::vector<std::string> addresses = listen(1, 40);
  DatagramSocket otherSender(context, [](const DatagramSocket::Endpoint&, std::string_view) {});
  CHECK_TRUE(succeeded(otherSender.listen(addressOf("127.0.2.3"))));
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
