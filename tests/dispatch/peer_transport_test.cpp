#include "node/peer_transport.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "log_capture.h"
#include "wire/codec.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using boost::asio::ip::tcp;

namespace {

constexpr int kMostHandlers = 20'000;

wire::PeerMessage probe(std::uint32_t number) {
  return membership::MembershipMessage(membership::ProbeRequest{number, {}});
}

wire::PeerMessage notice(std::uint64_t epoch) {
  return program::JournalMessage(program::ReleaseNotice{ProgramId{}, Epoch(epoch)});
}

/// A free port that nothing listens on any more.
std::uint16_t freePort(boost::asio::io_context& context) {
  tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint().port();
}

std::string loopback(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

TEST_GROUP(PeerTransport) {
  /// What one node has taken, by sender.
  struct Inbox {
    std::vector<NodeId> senders;
    std::vector<wire::PeerMessage> messages;
  };

  LogCapture log;
  boost::asio::io_context context;
  std::map<NodeId, std::uint16_t> ports;
  std::map<NodeId, node::PeerTransportPtr> transports;
  std::map<NodeId, Inbox> inboxes;
  node::PeerTransportKnobs knobs;

  void setup() override {
    for (std::uint32_t node = 1; node <= 3; ++node) {
      ports[NodeId(node)] = freePort(context);
    }
    knobs.shortestBackoff = milliseconds(1);
    knobs.longestBackoff = milliseconds(4);
  }

  /// Sockets close within handlers; they must all have run before the leak check.
  void teardown() override {
    transports.clear();
    inboxes.clear();
    ports.clear();
    context.poll();
  }

  void start(std::uint32_t number) {
    node::PeerTransportOptions options;
    options.self = NodeId(number);
    options.incarnation = Incarnation(number);
    options.listenAddress = loopback(ports[options.self]);
    for (const auto& [member, port] : ports) {
      options.members.push_back({member, "zone-1", loopback(port), ""});
    }
    options.knobs = knobs;
    auto made = node::makePeerTransport(
        context, options, [this, number](NodeId from, wire::PeerMessage message) {
          inboxes[NodeId(number)].senders.push_back(from);
          inboxes[NodeId(number)].messages.push_back(std::move(message));
        });
    CHECK(succeeded(made));
    transports[options.self] = std::move(valueOf(made));
  }

  node::PeerTransport& transport(std::uint32_t number) { return *transports[NodeId(number)]; }
  node::PeerTransportCounters countersOf(std::uint32_t number) {
    return transport(number).counters();
  }

  /// Runs handlers until the condition holds; fails after a bounded number of them.
  void runUntil(const std::function<bool()>& condition) {
    for (int handlers = 0; handlers < kMostHandlers; ++handlers) {
      if (condition()) {
        return;
      }
      // The limit only ends a test that has failed already: nothing more would ever happen.
      if (context.run_one_for(std::chrono::seconds(10)) == 0) {
        FAIL("nothing happens any more, and the condition does not hold");
      }
    }
    FAIL("the condition did not come to hold");
  }

  std::size_t taken(std::uint32_t number) { return inboxes[NodeId(number)].messages.size(); }

  /// Connects as anybody could, and sends bytes to a node.
  tcp::socket sendRaw(std::uint32_t number, const std::vector<std::uint8_t>& bytes) {
    tcp::socket socket(context);
    socket.connect({boost::asio::ip::address_v4::loopback(), ports[NodeId(number)]});
    boost::asio::write(socket, boost::asio::buffer(bytes));
    return socket;
  }

  std::vector<std::uint8_t> frameOf(std::uint32_t sender, const wire::PeerMessage& message) {
    return wire::encodeFrame({NodeId(sender), Incarnation(1), message});
  }
};

TEST(PeerTransport, CarriesMessagesBothWaysInOrder) {
  start(1);
  start(2);
  for (std::uint32_t number = 0; number < 100; ++number) {
    transport(1).send(NodeId(2), notice(number));
    transport(2).send(NodeId(1), probe(number));
  }
  runUntil([this] { return taken(1) == 100 && taken(2) == 100; });
  for (std::uint32_t number = 0; number < 100; ++number) {
    const auto& journal = std::get<program::JournalMessage>(inboxes[NodeId(2)].messages[number]);
    LONGS_EQUAL(number, std::get<program::ReleaseNotice>(journal).epoch.value());
    LONGS_EQUAL(2, inboxes[NodeId(1)].senders[number].value());
  }
}

TEST(PeerTransport, CountsFramesAndBytesBySubsystem) {
  start(1);
  start(2);
  transport(1).send(NodeId(2), notice(1));
  transport(1).send(NodeId(2), probe(1));
  transport(1).send(NodeId(2), probe(2));
  runUntil([this] { return taken(2) == 3; });
  const auto sent = countersOf(1).sent;
  const auto received = countersOf(2).received;
  LONGS_EQUAL(1, sent[0].frames);
  LONGS_EQUAL(2, sent[1].frames);
  LONGS_EQUAL(frameOf(1, notice(1)).size(), sent[0].bytes);
  LONGS_EQUAL(sent[1].bytes, received[1].bytes);
  LONGS_EQUAL(1, countersOf(1).linksOpened);
  LONGS_EQUAL(1, countersOf(2).linksIncoming);
}

TEST(PeerTransport, ReachesAPeerThatStartsLater) {
  start(1);
  transport(1).send(NodeId(2), notice(7));
  runUntil([this] { return countersOf(1).connectsFailed >= 3; });
  start(2);
  runUntil([this] { return taken(2) == 1; });
  LONGS_EQUAL(0, countersOf(1).framesExpired);
}

TEST(PeerTransport, ReconnectsToAPeerThatWasReplaced) {
  start(1);
  start(2);
  transport(1).send(NodeId(2), notice(1));
  runUntil([this] { return taken(2) == 1; });
  transports.erase(NodeId(2));
  runUntil([this] { return countersOf(1).linksOutgoing == 0; });
  start(2);
  transport(1).send(NodeId(2), notice(2));
  runUntil([this] { return taken(2) == 2; });
  LONGS_EQUAL(2, countersOf(1).linksOpened);
}

TEST(PeerTransport, ForgetsFramesThatWaitedTooLong) {
  knobs.maximumFrameAge = Duration(0);
  start(1);
  transport(1).send(NodeId(2), notice(1));
  runUntil([this] { return countersOf(1).connectsFailed >= 1; });
  start(2);
  runUntil([this] { return countersOf(1).linksOpened == 1; });
  LONGS_EQUAL(1, countersOf(1).framesExpired);
  LONGS_EQUAL(0, taken(2));
}

TEST(PeerTransport, BoundsTheQueueOfAPeerThatIsDown) {
  knobs.queue = {.frames = 4, .bytes = 100'000};
  start(1);
  transport(1).send(NodeId(2), probe(1));
  for (std::uint32_t number = 1; number <= 6; ++number) {
    transport(1).send(NodeId(2), notice(number));
  }
  LONGS_EQUAL(1, countersOf(1).dropped[1]);
  LONGS_EQUAL(2, countersOf(1).dropped[0]);
  start(2);
  runUntil([this] { return taken(2) == 4; });
}

TEST(PeerTransport, BadFrameClosesOnlyItsOwnLink) {
  start(1);
  start(2);
  transport(2).send(NodeId(1), probe(1));
  runUntil([this] { return taken(1) == 1; });
  std::vector<std::uint8_t> bad = frameOf(3, notice(1));
  bad[wire::kLengthPrefixBytes] ^= 0xFF;
  const tcp::socket socket = sendRaw(1, bad);
  runUntil([this] { return countersOf(1).framesInvalid == 1; });
  LONGS_EQUAL(1, countersOf(1).linksIncoming);
  transport(2).send(NodeId(1), probe(2));
  runUntil([this] { return taken(1) == 2; });
}

TEST(PeerTransport, TooLongFrameClosesItsLinkBeforeItsBytesCome) {
  start(1);
  const tcp::socket socket = sendRaw(1, {0xFF, 0xFF, 0xFF, 0xFF});
  runUntil([this] { return countersOf(1).framesInvalid == 1; });
  LONGS_EQUAL(0, countersOf(1).linksIncoming);
}

TEST(PeerTransport, FramesOfNoMemberAndOfItselfAreRefused) {
  start(1);
  const tcp::socket stranger = sendRaw(1, frameOf(9, notice(1)));
  runUntil([this] { return countersOf(1).sendersUnknown == 1; });
  const tcp::socket mirror = sendRaw(1, frameOf(1, notice(1)));
  runUntil([this] { return countersOf(1).sendersUnknown == 2; });
  LONGS_EQUAL(0, taken(1));
  LONGS_EQUAL(0, countersOf(1).linksIncoming);
}

TEST(PeerTransport, SenderThatChangesOnALinkIsRefused) {
  start(1);
  std::vector<std::uint8_t> bytes = frameOf(2, notice(1));
  const std::vector<std::uint8_t> other = frameOf(3, notice(2));
  bytes.insert(bytes.end(), other.begin(), other.end());
  const tcp::socket socket = sendRaw(1, bytes);
  runUntil([this] { return countersOf(1).sendersUnknown == 1; });
  LONGS_EQUAL(1, taken(1));
}

TEST(PeerTransport, TooLongMessageIsNotSentAndCounted) {
  start(1);
  bundle::BundleFetchReply reply;
  reply.envelope.assign(wire::kMaximumFrameBytes, 'x');
  transport(1).send(NodeId(2), bundle::DistributionMessage(reply));
  LONGS_EQUAL(1, countersOf(1).framesTooLong);
}

TEST(PeerTransport, LongMessageCrossesWhole) {
  start(1);
  start(2);
  bundle::BundleFetchReply reply;
  reply.envelope.assign(3'000'000, 'x');
  transport(1).send(NodeId(2), bundle::DistributionMessage(reply));
  runUntil([this] { return taken(2) == 1; });
  const auto& got = std::get<bundle::DistributionMessage>(inboxes[NodeId(2)].messages[0]);
  LONGS_EQUAL(3'000'000, std::get<bundle::BundleFetchReply>(got).envelope.size());
}

TEST(PeerTransport, MessagesToNobodyAreCounted) {
  start(1);
  transport(1).send(NodeId(1), notice(1));
  transport(1).send(NodeId(77), notice(1));
  LONGS_EQUAL(2, countersOf(1).framesUnaddressed);
}

TEST(PeerTransport, RefusesLinksOverTheBound) {
  knobs.maximumIncomingLinks = 1;
  start(1);
  const tcp::socket first = sendRaw(1, {});
  runUntil([this] { return countersOf(1).linksIncoming == 1; });
  const tcp::socket second = sendRaw(1, {});
  runUntil([this] { return countersOf(1).linksRefused == 1; });
}

TEST(PeerTransport, ClosesLinksThatFellSilent) {
  knobs.idleTimeout = milliseconds(1);
  start(1);
  const tcp::socket silent = sendRaw(1, {});
  runUntil([this] { return countersOf(1).linksTimedOut == 1; });
  LONGS_EQUAL(0, countersOf(1).linksIncoming);
}

TEST(PeerTransport, IdleLinkIsClosedAndOpenedAgainWhenNeeded) {
  knobs.idleTimeout = milliseconds(1);
  start(1);
  start(2);
  transport(1).send(NodeId(2), notice(1));
  runUntil([this] { return taken(2) == 1 && countersOf(1).linksOutgoing == 0; });
  LONGS_EQUAL(0, countersOf(1).framesLost);
  transport(1).send(NodeId(2), notice(2));
  runUntil([this] { return taken(2) == 2; });
}

TEST(PeerTransport, MayBeStoppedByItsOwnCallback) {
  start(1);
  node::PeerTransportOptions options;
  options.self = NodeId(2);
  options.listenAddress = loopback(ports[NodeId(2)]);
  options.members = {{NodeId(1), "zone-1", loopback(ports[NodeId(1)]), ""}};
  node::PeerTransportPtr stopped;
  int calls = 0;
  auto made = node::makePeerTransport(context, options, [&](NodeId, wire::PeerMessage) {
    ++calls;
    stopped.reset();
  });
  CHECK(succeeded(made));
  stopped = std::move(valueOf(made));
  transport(1).send(NodeId(2), notice(1));
  transport(1).send(NodeId(2), notice(2));
  runUntil([&stopped] { return stopped == nullptr; });
  context.poll();
  LONGS_EQUAL(1, calls);
}

TEST(PeerTransport, UnusableListeningAddressIsATypedError) {
  start(1);
  for (const std::string& address : {std::string("nowhere"), loopback(ports[NodeId(1)])}) {
    node::PeerTransportOptions options;
    options.listenAddress = address;
    const auto made =
        node::makePeerTransport(context, options, [](NodeId, const wire::PeerMessage&) {});
    CHECK_FALSE(succeeded(made));
    CHECK(errorOf(made).kind == ErrorKind::InvalidSettings);
  }
}
