/// \file Wires one edge node together: listeners, followers of the store, planned stop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "edge/edge_context.h"
#include "edge/edge_settings.h"
#include "edge/event_log.h"
#include "edge/ledger_relay.h"
#include "edge/load_exchange.h"
#include "edge/member_announcer.h"
#include "edge/member_table.h"
#include "edge/peer_monitor.h"
#include "edge/quota_exchange.h"
#include "edge/shared_topic_store.h"
#include "edge/store_relay.h"
#include "edge/topic_readers.h"
#include "edge/unreadable_records.h"
#include "edge/wire_adapter.h"
#include "http/http_server.h"
#include "ledger/program_ledger.h"
#include "ledger/routed_ledger.h"
#include "logstore/failover_store.h"
#include "logstore/keyed_topic_follower.h"
#include "logstore/log_store.h"
#include "quota/static_shares.h"
#include "routing/cold_replica_rule.h"
#include "routing/evacuation.h"
#include "routing/fleet_load.h"
#include "routing/locality.h"
#include "routing/region_rule.h"

namespace gorsetrail::edge {

/// Parts from outside the product's core; they outlive the daemon.
struct EdgeParts {
  const WireAdapter& wire;
  const DocumentAdapter& documents;
  logstore::LogStore& store;  ///< Single calls; the daemon adds the retries.
  http::HttpClient& client;   ///< To replicas.
  http::HttpClient& peers;    ///< To other nodes.
  EventLog::Output log;       ///< Takes log lines.
};

class EdgeDaemon {
 public:
  EdgeDaemon(boost::asio::io_context& context, EdgeSettings settings, EdgeParts parts,
             std::uint64_t seed);
  ~EdgeDaemon();
  EdgeDaemon(const EdgeDaemon&) = delete;
  EdgeDaemon& operator=(const EdgeDaemon&) = delete;

  /// Listens and begins to follow the store. Errors: `InvalidSettings`.
  Result<Success> start();
  /// Planned stop: not ready at once, requests that were read end, then `onStopped`.
  void beginStop(std::function<void()> onStopped);
  /// Takes over settings that may change in a running process; addresses to listen at may not.
  void reload(EdgeSettings settings);
  /// New settings could not be read: the old ones stay.
  void refuseReload(const std::vector<Error>& errors);
  /// For work beside the daemon's own on the same loop.
  [[nodiscard]] services::TimerService& timers() { return *timers_; }

 private:
  /// The settings have another table of zones and regions.
  void onZonesChanged();
  [[nodiscard]] ledger::LedgerKnobs ledgerKnobs(std::uint64_t life);
  [[nodiscard]] ledger::RoutedLedgerKnobs routedLedgerKnobs();
  Result<Success> listen();
  [[nodiscard]] logstore::PartitionAddress configurationPartition() const;
  [[nodiscard]] logstore::PartitionAddress replicaPartition() const;
  using RequestHandler = std::function<void(http::ServerRequest, http::ResponseWriterPtr)>;
  /// Listens at the address; an empty one is passed over. Errors: `InvalidSettings`.
  Result<Success> serve(http::HttpServerPtr& server, const std::string& address,
                        RequestHandler onRequest);
  void onClientRequest(http::ServerRequest request, http::ResponseWriterPtr writer);
  void onReadinessRequest(const http::ResponseWriterPtr& writer);
  void onDirectoryRequest(const http::ServerRequest& request,
                          const http::ResponseWriterPtr& writer);
  void followConfiguration();
  void followReplicas();
  void followMembers();
  /// Takes one of the operators' records: a configuration, or an evacuated zone.
  void onOperatorRecord(const std::string& key, const std::string& value);
  void onConfigurationRecord(const std::string& value);
  void onEvacuationRecord(const std::string& zone, const std::string& value);
  void onOperatorRecordsListed(const std::vector<std::string>& keys);
  /// \param by what told of it, for the log.
  void onEvacuationTakenBack(const std::string& zone, std::string_view by);
  void onReplicaLapsed(const std::string& id, std::string_view by);
  [[nodiscard]] bool storeWasOutOfOrder() const;
  void onReplicaRecord(const std::string& id, const std::string& value);
  [[nodiscard]] bool isUnchangedRegistration(const std::string& older,
                                             const std::string& newer) const;
  void logReplicaChange(const routing::ReplicaEntry& entry);
  /// Takes a start for untold that cannot be one.
  void dropImplausibleStart(routing::ReplicaEntry& entry);
  /// \return by this node's clock, when the entry's life began; see `routing::lifeBeganAt`.
  [[nodiscard]] Instant beganAt(const routing::ReplicaEntry& entry) const;
  /// \param before its earlier life; null where that was not registered any longer.
  void onReplicaRestarted(const routing::ReplicaPtr& before, const routing::Replica& replica);
  void onOutdatedEntry(const routing::ReplicaEntry& entry);
  /// The replica's entry cannot be read: it names no replica to use.
  void onReplicaUnreadable(const std::string& id, const Error& error);
  void onMemberRecord(const std::string& key, const std::string& value);
  /// Counts a record that cannot be read, and writes a line of it where one is due.
  void noteUnreadable(RecordKind kind, const std::string& key, const Error& error);
  [[nodiscard]] bool isStarting(std::string_view topic) const;
  void noteStoreAnswer(std::string_view topic);
  void noteStoreSilence(std::string_view topic, const logstore::StoreError& error);
  /// \param urgent a change that others must know of at once.
  /// \return whether the announcement is on its way.
  bool announce(bool urgent);
  void announceLoop();
  void paceFollowers();
  void loadLoop();
  /// \return whether this node sends requests to replicas, or did a moment ago.
  [[nodiscard]] bool sendsRequests();
  /// \return where the nodes that take clients get digests of loads, this one left out.
  [[nodiscard]] const LoadPeers& loadPeers();
  [[nodiscard]] routing::ColdReplicaSources coldReplicaSources();
  void tendColdReplicas();
  void logWhetherColdIsKnown();
  void flushLoop();
  void sweepLoop();
  void leaseLoop();
  /// \return when the stop was asked for at the earliest, as far as this process can know.
  [[nodiscard]] Instant stopAskedForAt() const;
  void checkStopped();
  [[nodiscard]] EdgeSnapshot snapshot() const;
  void addTopicFigures(EdgeSnapshot& figures) const;
  [[nodiscard]] bool isReady() const;
  /// \return whether there are internal ports, for calls between nodes.
  [[nodiscard]] bool hasPeers() const { return settings_.firstInternalPort != 0; }
  [[nodiscard]] std::string ownRelayAddress() const;
  [[nodiscard]] std::string ownLoadAddress() const;
  /// \return relays that calls for the partition may go through.
  [[nodiscard]] std::vector<std::string> otherRelays(
      const logstore::PartitionAddress& partition) const;
  /// \return the regions that a client of this host may be sent to besides its own; null: any.
  [[nodiscard]] const routing::RegionSet* allowedRegionsOf(const std::string& host) const;
  /// \return nodes that may be homes of the ledger's partitions; none before the first list.
  [[nodiscard]] const std::vector<ledger::HomeCandidate>& ledgerHomes();
  [[nodiscard]] QuotaSources quotaSources();
  [[nodiscard]] TopicReaderSources topicReaderSources();
  /// \return what this node tells others of itself.
  [[nodiscard]] MemberRecord ownRecord() const;
  /// \return nodes that may aggregate announcements; the zone's claimed reader while no member of
  /// the zone is known.
  [[nodiscard]] std::vector<ledger::HomeCandidate> announcementAggregators();
  [[nodiscard]] quota::QuotaAdmission& quotaInUse();
  void onStoreWay(logstore::StoreWay way);
  void onPeerState(const std::string& ip, membership::MemberState state);
  Result<Success> listenForPeers();

  boost::asio::io_context& ioContext_;
  EdgeSettings settings_;
  routing::ZoneTable zones_;
  /// The newest configuration that could be read, where it was refused for a region that is not in
  /// the table; empty otherwise.
  std::string refusedConfiguration_;
  EdgeParts parts_;
  services::TimerServicePtr timers_;
  std::function<Instant()> clock_;
  EventLog log_;
  EdgeMetrics metrics_;
  PeerMonitor peerMonitor_;
  MemberTable members_;
  RelayedStore relayedStore_;
  logstore::FailoverStore failoverStore_;
  logstore::PersistentStore store_;
  StoreRelayServer relayServer_;
  MemberAnnouncer announcer_;
  logstore::CompactedTopic configurationCopy_;
  logstore::CompactedTopic replicaCopy_;
  logstore::CompactedTopic memberCopy_;
  logstore::TopicGateway configurationGateway_;
  logstore::TopicGateway replicaGateway_;
  logstore::TopicGateway memberGateway_;
  TopicReaders topicReaders_;
  SharedTopicStore sharedTopics_;
  ledger::ProgramLedger localLedger_;
  ledger::LedgerService ledgerService_;
  HttpLedgerPeers ledgerPeers_;
  ledger::RoutedLedger ledger_;
  LedgerRelayServer ledgerServer_;
  routing::RouteTable routes_;
  routing::ReplicaTable replicas_;
  routing::ReplicaSelector selector_;
  routing::AdmissionPolicy admission_;
  routing::EvacuationTable evacuations_;
  routing::RegionRule regionRule_;
  routing::EvacuationRule evacuationRule_;
  routing::ColdReplicaRule coldReplicas_;
  std::optional<bool> isColdKnown_;  ///< As it was told last; unset: never.
  routing::ReplicaPlacement placement_;
  routing::FleetLoad fleetLoad_;
  LoadExchange loadExchange_;
  QuotaExchange quotaExchange_;
  quota::StaticShares staticShares_;
  EdgeContext context_;
  http::HttpServerPtr clientServer_;
  http::HttpServerPtr readinessServer_;
  http::HttpServerPtr directoryServer_;
  http::HttpServerPtr peerServer_;
  http::HttpServerPtr metricsServer_;
  std::shared_ptr<logstore::KeyedTopicFollower> configurationFollower_;
  std::shared_ptr<logstore::KeyedTopicFollower> replicaFollower_;
  std::shared_ptr<logstore::KeyedTopicFollower> memberFollower_;
  std::uint64_t seed_;
  std::uint64_t beat_ = 0;
  bool wasAnnouncedReady_ = false;
  UnreadableRecords unreadableRecords_;
  bool membersListed_ = false;
  bool replicasListed_ = false;
  std::uint64_t implausibleStarts_ = 0;  ///< Entries with a start that lies ahead of this node.
  std::vector<ledger::HomeCandidate> ledgerHomes_;  ///< As of `ledgerHomesAt_`.
  Instant ledgerHomesAt_;
  LoadPeers loadPeers_;                    ///< As of `loadPeersAt_`.
  std::vector<std::string> clientTakers_;  ///< Their addresses for clients, as of `loadPeersAt_`.
  std::vector<routing::RingMember> ringMembers_;  ///< All members; as of `loadPeersAt_`.
  Instant loadPeersAt_;
  bool takesClients_ = false;  ///< The directory names this node.
  bool hasLoad_ = false;       ///< As of `loadsWalkedAt_`.
  Instant loadsWalkedAt_;
  std::uint64_t dispatchesSeen_ = 0;
  std::set<std::string, std::less<>> lostTopics_;      ///< Followed, and not answered lately.
  std::set<std::string, std::less<>> answeredTopics_;  ///< Once, since the start.
  Instant startedAt_;
  std::optional<Instant> storeRegainedAt_;
  bool stopping_ = false;
  Instant stopBegunAt_;
  Instant ranAt_;  ///< As of the last turn of `flushLoop`.
  std::function<void()> onStopped_;
};

}  // namespace gorsetrail::edge
