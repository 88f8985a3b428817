// Guards against overload of the store when all nodes of a fleet start together: the fleet must
// become ready within seconds, and stay ready, by reading through one node of each zone.
#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "edge/shared_topic_store.h"
#include "edge/topic_readers.h"
#include "logstore/fake_log_store.h"
#include "logstore/keyed_topic_follower.h"
#include "logstore/retrying_store.h"
#include "logstore/store_message.h"
// Include after the standard headers, because CppUTest redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;

namespace {

constexpr int kZones = 4;
constexpr int kNodesOfZone = 30;
constexpr int kCapableNodesOfZone = 5;
constexpr int kReplicas = 100;
constexpr Duration kHeartbeat = seconds(1);
constexpr std::size_t kRegistrationBytes = 3000;
/// Far below what direct reads by all nodes would need; the replicas write 0.3 MB/s.
constexpr double kStoreBytesPerSecond = 10e6;
constexpr std::size_t kPageItems = 50;
const logstore::PartitionAddress kReplicaPartition{"keyed.replicas", 0};
const logstore::PartitionAddress kClaimPartition{"keyed.readers", 0};

/// A store with limited bandwidth and sequential appends. Late answers still use bandwidth,
/// although the caller has given up.
class LimitedBandwidthStore final : public logstore::LogStore {
 public:
  LimitedBandwidthStore(logstore::FakeTimers& timers, double bytesPerSecond)
      : timers_(timers), bytesPerSecond_(bytesPerSecond) {}

  void write(const logstore::PartitionAddress& partition, const std::string& key,
             const std::string& value) {
    std::vector<std::string>& log = logs_[partition];
    newest_[partition][key] = {key, value, log.size()};
    log.push_back(logstore::encodeKeyedRecord(key, value));
  }
  void append(logstore::AppendRequest request,
              logstore::StoreCallback<logstore::AppendReply> callback) override {
    constexpr Duration kAppendTime = milliseconds(4);
    appendsEnd_ = std::max(appendsEnd_, timers_.now) + kAppendTime;
    timers_.runAfter(appendsEnd_ - timers_.now, [this, request, callback] {
      for (const std::string& record : request.records) {
        const auto [key, value] = logstore::decodeKeyedRecord(record);
        write(request.partition, key, value);
      }
      const std::uint64_t end = logs_[request.partition].size();
      callback(logstore::AppendReply{end - request.records.size(), end});
    });
  }
  void read(logstore::ReadRequest request,
            logstore::StoreCallback<logstore::ReadReply> callback) override {
    const std::vector<std::string>& log = logs_[request.partition];
    logstore::ReadReply reply;
    reply.end = log.size();
    std::size_t bytes = 0;
    for (std::uint64_t at = request.start; at < log.size() && bytes < request.maximumBytes; ++at) {
      reply.records.push_back(log[at]);
      bytes += log[at].size();
    }
    send<logstore::ReadReply>(std::move(reply), bytes, request.timeLimit, std::move(callback));
  }
  void listLatest(logstore::NewestRequest request,
                  logstore::StoreCallback<logstore::NewestReply> callback) override {
    const auto& items = newest_[request.partition];
    logstore::NewestReply reply;
    reply.end = logs_[request.partition].size();
    std::size_t bytes = 0;
    for (auto item = items.upper_bound(request.afterKey); item != items.end(); ++item) {
      if (reply.items.size() == kPageItems) {
        reply.hasMore = true;
        break;
      }
      reply.items.push_back(item->second);
      bytes += item->second.value.size();
    }
    send<logstore::NewestReply>(std::move(reply), bytes, request.timeLimit, std::move(callback));
  }

  double bytesSent = 0;
  int calls = 0;

 private:
  template <class Reply>
  void send(Reply reply, std::size_t bytes, Duration timeLimit,
            logstore::StoreCallback<Reply> callback) {
    constexpr Duration kAnswerTime = milliseconds(4);
    ++calls;
    bytesSent += static_cast<double>(bytes);
    const auto transfer =
        Duration(static_cast<Duration::rep>(1e6 * static_cast<double>(bytes) / bytesPerSecond_));
    sendsEnd_ = std::max(sendsEnd_, timers_.now) + transfer;
    const Duration wait = sendsEnd_ - timers_.now + kAnswerTime;
    if (wait > timeLimit) {
      timers_.runAfter(timeLimit, [callback] {
        callback(logstore::StoreError{logstore::StoreFault::NoAnswer, "time limit reached", 0});
      });
    } else {
      timers_.runAfter(wait, [reply = std::move(reply), callback] { callback(reply); });
    }
  }

  logstore::FakeTimers& timers_;
  double bytesPerSecond_;
  std::map<logstore::PartitionAddress, std::vector<std::string>> logs_;
  std::map<logstore::PartitionAddress, std::map<std::string, logstore::KeyedItem>> newest_;
  Instant sendsEnd_;
  Instant appendsEnd_;
};

/// One node's connection to the store, which can be cut.
class StoreConnection final : public logstore::LogStore {
 public:
  StoreConnection(logstore::FakeTimers& timers, LimitedBandwidthStore& store)
      : timers_(timers), store_(store) {}

  void append(logstore::AppendRequest request,
              logstore::StoreCallback<logstore::AppendReply> callback) override {
    if (isCut) {
      fail(request.timeLimit, callback);
    } else {
      store_.append(std::move(request), std::move(callback));
    }
  }
  void read(logstore::ReadRequest request,
            logstore::StoreCallback<logstore::ReadReply> callback) override {
    if (isCut) {
      fail(request.timeLimit, callback);
    } else {
      store_.read(std::move(request), std::move(callback));
    }
  }
  void listLatest(logstore::NewestRequest request,
                  logstore::StoreCallback<logstore::NewestReply> callback) override {
    if (isCut) {
      fail(request.timeLimit, callback);
    } else {
      store_.listLatest(std::move(request), std::move(callback));
    }
  }

  bool isCut = false;

 private:
  template <class Reply>
  void fail(Duration timeLimit, const logstore::StoreCallback<Reply>& callback) {
    timers_.runAfter(timeLimit, [callback] {
      callback(logstore::StoreError{logstore::StoreFault::NoAnswer, "time limit reached", 0});
    });
  }

  logstore::FakeTimers& timers_;
  LimitedBandwidthStore& store_;
};

class StartingNode;

/// Transports store calls between nodes; each node's link sends one reply after the other.
class NodeNetwork final : public http::HttpClient {
 public:
  explicit NodeNetwork(logstore::FakeTimers& timers) : timers_(timers) {}
  http::RequestHandlePtr send(http::Request request, http::ResponseHandler handler) override;
  void checkReachable(const std::string& /*address*/, Duration /*limit*/,
                      std::function<void(bool)> callback) override {
    callback(true);
  }
  std::map<std::string, StartingNode*> nodes;

 private:
  class NoHandle final : public http::RequestHandle {
   public:
    void cancel() override {}
  };
  void reply(StartingNode& from, const logstore::StoreCallReply& reply, Duration timeLimit,
             const http::ResponseHandler& handler);

  logstore::FakeTimers& timers_;
};

/// The parts of an edge node that follow the replicas' registrations.
class StartingNode {
 public:
  StartingNode(logstore::FakeTimers& timers, LimitedBandwidthStore& store, NodeNetwork& network,
               const std::string& nodeAddress, const std::string& nodeZone, double capacity,
               bool usesReaders, std::uint64_t seed)
      : address(nodeAddress),
        zone(nodeZone),
        linkBytesPerSecond(capacity > 0.1 ? 75e6 : 4e6),
        timers_(timers),
        clock_([&timers] { return timers.now; }),
        storeConnection(timers, store),
        store_(storeConnection, timers, clock_, {}, seed),
        relay_(
            network, [](const logstore::PartitionAddress&) { return std::vector<std::string>(); },
            seed),
        copy([](const std::string& older, const std::string& newer) {
          return older.substr(0, older.find('#')) == newer.substr(0, newer.find('#'));
        }),
        gateway(store_, timers, clock_, kReplicaPartition, copy, {}),
        readers(
            store_, timers, clock_, kClaimPartition, {nodeAddress, nodeZone, capacity},
            [this] { return MemberRecord{"node", zone, "10.0.0.1:80", address, false, 1, 1.0}; },
            [](const std::string&) {}, {}, seed),
        shared_(store_, relay_, nodeAddress, nodeZone, sources(), clock_, {}) {
    if (usesReaders) {
      shared_.routeThroughReader(kReplicaPartition, gateway);
      readers.start();
    }
    logstore::KeyedTopicObserver observer;
    observer.onRecord = [this](const std::string& key, const std::string& value) {
      known[key] = value;
    };
    observer.onListed = [](const std::vector<std::string>&) {};
    observer.onFresh = [this](Instant askedAt) { freshAt = askedAt; };
    observer.onReadFailed = [](const logstore::StoreError&) {};
    follower_ = std::make_shared<logstore::KeyedTopicFollower>(
        shared_, timers, clock_, kReplicaPartition, logstore::KeyedTopicFollowerKnobs{}, observer,
        &copy, seed);
    follower_->start();
  }

  bool isReady() const {
    return known.size() >= kReplicas * 9 / 10 && timers_.now - freshAt < seconds(2);
  }

  const std::string address;
  const std::string zone;
  const double linkBytesPerSecond;
  Instant linkBusyUntil;
  std::map<std::string, std::string> known;
  Instant freshAt;

 private:
  TopicReaderSources sources() {
    TopicReaderSources made;
    made.candidates = [] { return std::vector<ledger::NodeCandidate>(); };
    made.claimedReader = [this] { return readers.reader(); };
    made.isClaimedReader = [this] { return readers.isReader(); };
    made.onUnreachable = [this](const std::string& reader) { readers.onUnreachable(reader); };
    made.onAnswered = [this](const std::string& reader) { readers.onAnswered(reader); };
    made.onNoAnswer = [this](const std::string& reader) { readers.onNoAnswer(reader); };
    made.onNoReader = [this] { readers.onNoReader(); };
    made.members = [] { return std::size_t{0}; };
    return made;
  }

  logstore::FakeTimers& timers_;
  logstore::ClockFunction clock_;

 public:
  StoreConnection storeConnection;

 private:
  logstore::RetryingStore store_;
  RelayedStore relay_;

 public:
  logstore::CompactedTopic copy;
  logstore::TopicGateway gateway;
  TopicReaders readers;
  bool isDown = false;

 private:
  SharedTopicStore shared_;
  std::shared_ptr<logstore::KeyedTopicFollower> follower_;
};

http::RequestHandlePtr NodeNetwork::send(http::Request request, http::ResponseHandler handler) {
  const auto found = nodes.find(request.address);
  if (found == nodes.end() || found->second->isDown) {
    const Duration limit = request.timeLimit;
    timers_.runAfter(limit, [handler] {
      handler.onFailure({http::FailureStage::Broken, "time limit reached"});
    });
    return std::make_shared<NoHandle>();
  }
  StartingNode& node = *found->second;
  auto call = logstore::decodeStoreCall(request.body);
  if (auto* const read = std::get_if<logstore::ReadRequest>(&valueOf(call))) {
    node.gateway.read(*read, [this, &node, limit = request.timeLimit,
                              handler](logstore::StoreResult<logstore::ReadReply> result) {
      std::visit([&](auto& value) { reply(node, value, limit, handler); }, result);
    });
  } else {
    node.gateway.listLatest(std::get<logstore::NewestRequest>(valueOf(call)),
                            [this, &node, limit = request.timeLimit,
                             handler](logstore::StoreResult<logstore::NewestReply> result) {
                              std::visit([&](auto& value) { reply(node, value, limit, handler); },
                                         result);
                            });
  }
  return std::make_shared<NoHandle>();
}

void NodeNetwork::reply(StartingNode& from, const logstore::StoreCallReply& reply,
                        Duration timeLimit, const http::ResponseHandler& handler) {
  const std::string body = logstore::encodeStoreReply(reply);
  const auto transfer = Duration(
      static_cast<Duration::rep>(1e6 * static_cast<double>(body.size()) / from.linkBytesPerSecond));
  from.linkBusyUntil = std::max(from.linkBusyUntil, timers_.now) + transfer;
  const Duration wait = from.linkBusyUntil - timers_.now + milliseconds(1);
  if (wait > timeLimit) {
    timers_.runAfter(timeLimit, [handler] {
      handler.onFailure({http::FailureStage::Broken, "time limit reached"});
    });
  } else {
    timers_.runAfter(wait, [handler, body] { handler.onDone({200, {}, body}); });
  }
}

/// A fleet that starts with a store of the given bandwidth.
struct Fleet {
  logstore::FakeTimers timers;
  LimitedBandwidthStore store;
  NodeNetwork network{timers};
  std::vector<std::unique_ptr<StartingNode>> nodes;
  int written = 0;

  Fleet(double bytesPerSecond, bool usesReaders) : store(timers, bytesPerSecond) {
    writeHeartbeats();
    for (int zone = 0; zone < kZones; ++zone) {
      for (int index = 0; index < kNodesOfZone; ++index) {
        constexpr double kCapable = 0.3;
        constexpr double kNarrow = 0.004;
        const std::string address =
            "10." + std::to_string(zone) + ".0." + std::to_string(index) + ":7380";
        nodes.push_back(std::make_unique<StartingNode>(
            timers, store, network, address, "zone-" + std::to_string(zone),
            index < kCapableNodesOfZone ? kCapable : kNarrow, usesReaders, nodes.size() + 1));
        network.nodes[address] = nodes.back().get();
      }
    }
  }
  /// Writes the heartbeats of a tenth of the replicas and schedules the next tenth.
  void writeHeartbeats() {
    constexpr int kParts = 10;
    for (int count = 0; count < kReplicas / kParts; ++count, ++written) {
      const std::string value(kRegistrationBytes, 'x');
      store.write(kReplicaPartition, "i-" + std::to_string(written % kReplicas),
                  value + "#" + std::to_string(written));
    }
    timers.runAfter(kHeartbeat / kParts, [this] { writeHeartbeats(); });
  }
  int ready() const {
    return static_cast<int>(std::count_if(nodes.begin(), nodes.end(), [](const auto& node) {
      return !node->isDown && node->isReady();
    }));
  }
  int readers() const {
    return static_cast<int>(std::count_if(
        nodes.begin(), nodes.end(), [](const auto& node) { return node->readers.isReader(); }));
  }
};

constexpr int kNodes = kZones * kNodesOfZone;

}  // namespace

TEST_GROUP(FleetStart){};

TEST(FleetStart, isReadyWithinTenSecondsAndStaysReady) {
  Fleet fleet(kStoreBytesPerSecond, true);
  fleet.timers.advance(seconds(10));
  CHECK(fleet.ready() >= kNodes * 9 / 10);
  const double before = fleet.store.bytesSent;
  fleet.timers.advance(seconds(10));
  LONGS_EQUAL(kNodes, fleet.ready());
  LONGS_EQUAL(kZones, fleet.readers());
  // Only one reader per zone reads from the store, at the rate at which the replicas write.
  constexpr double kWrittenPerSecond = kReplicas * kRegistrationBytes;
  CHECK(fleet.store.bytesSent - before < 1.2 * 10 * kZones * kWrittenPerSecond);
}

TEST(FleetStart, isReadyWithAStoreAtHalfItsBandwidth) {
  Fleet fleet(kStoreBytesPerSecond / 2, true);
  fleet.timers.advance(seconds(10));
  CHECK(fleet.ready() >= kNodes * 9 / 10);
}

// Shows that the other tests need readers: with direct reads the fleet requests more than the
// store's bandwidth.
TEST(FleetStart, isNotReadyIfEachNodeReadsDirectly) {
  Fleet fleet(kStoreBytesPerSecond, false);
  fleet.timers.advance(seconds(20));
  CHECK(fleet.ready() < kNodes / 2);
}

TEST(FleetStart, recoversFromTheLossOfAllReaders) {
  Fleet fleet(kStoreBytesPerSecond, true);
  fleet.timers.advance(seconds(10));
  int lost = 0;
  for (const auto& node : fleet.nodes) {
    node->isDown = node->readers.isReader();
    lost += node->isDown ? 1 : 0;
  }
  fleet.timers.advance(seconds(6));
  CHECK(fleet.ready() >= (kNodes - lost) * 9 / 10);
}

// Guards against zones that wait for a reader that lost the store right after its claim and can
// neither list the topic nor withdraw the claim.
TEST(FleetStart, recoversFromReadersThatCannotReachTheStore) {
  Fleet fleet(kStoreBytesPerSecond, true);
  int cut = 0;
  while (fleet.readers() < kZones && cut == 0) {
    fleet.timers.advance(milliseconds(1));
    for (const auto& node : fleet.nodes) {
      if (node->readers.isReader() && !node->copy.isComplete()) {
        node->storeConnection.isCut = true;
        ++cut;
      }
    }
  }
  CHECK(cut > 0);
  fleet.timers.advance(seconds(12));
  CHECK(fleet.ready() >= kNodes - cut - 2);
}
