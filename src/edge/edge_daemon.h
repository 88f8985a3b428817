/// \file The edge node: connects listeners, store followers, ledger, quota and routing.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
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
#include "edge/request_record_exchange.h"
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
#include "routing/service_times.h"
#include "routing/sign_of_life_rule.h"
#include "routing/software_version_history.h"
#include "routing/software_version_rule.h"
#include "routing/speed_contrast.h"
#include "routing/tenant_share_changes.h"
#include "routing/tenant_shares.h"

namespace gorsetrail::edge {

/// Dependencies that the embedding program provides; they outlive the daemon.
struct EdgeDependencies {
  const WireAdapter& wire;
  const DocumentAdapter& documents;
  logstore::LogStore& store;  ///< Makes single attempts; the daemon adds retries.
  http::HttpClient& client;   ///< For calls to replicas.
  http::HttpClient& peers;    ///< For calls to other edge nodes.
  EventLog::Output log;       ///< Receives log lines.
};

/// One edge node. Accepts client requests, follows the store's topics (configuration, replicas,
/// members), exchanges state with other nodes, and drains requests on a planned stop.
class EdgeDaemon {
 public:
  EdgeDaemon(boost::asio::io_context& context, EdgeSettings settings, EdgeDependencies dependencies,
             std::uint64_t seed);
  ~EdgeDaemon();
  EdgeDaemon(const EdgeDaemon&) = delete;
  EdgeDaemon& operator=(const EdgeDaemon&) = delete;

  /// Opens the listeners and starts following the store. Errors: `InvalidSettings`.
  Result<Success> start();
  /// Starts a planned stop: readiness fails immediately, accepted requests finish, then `onStopped`
  /// is called.
  void beginStop(std::function<void()> onStopped);
  /// Applies changed settings to the running process. Changed listen addresses and disabled
  /// mechanisms are ignored.
  void reload(EdgeSettings settings);
  /// Logs that new settings could not be read; the current ones stay in force.
  void reportInvalidReload(const std::vector<Error>& errors);
  /// Adds a line that a library of the process has logged to the daemon's log.
  void logProcessLine(std::string_view line) { log_.logLine(line); }
  /// Timers on the daemon's event loop, for other work of the embedding program.
  [[nodiscard]] services::TimerService& timers() { return *timers_; }

 private:
  /// Called when the settings' mapping of zones to regions has changed.
  void onZonesChanged();
  [[nodiscard]] ledger::LedgerKnobs ledgerKnobs(std::uint64_t incarnation);
  [[nodiscard]] ledger::RoutedLedgerKnobs routedLedgerKnobs();
  Result<Success> listen();
  [[nodiscard]] logstore::PartitionAddress configurationPartition() const;
  [[nodiscard]] logstore::PartitionAddress replicaPartition() const;
  /// Who connects to a listener. Connections from outside are limited together and apart from those
  /// of other nodes, so that neither can take the places of the other.
  enum class Callers : std::uint8_t { Outside, OtherNodes };
  using RequestHandler = std::function<void(http::ServerRequest, http::ResponseWriterPtr)>;
  /// Opens an HTTP listener; an empty address is ignored. Errors: `InvalidSettings`.
  Result<Success> serve(http::HttpServerPtr& server, const std::string& address, Callers callers,
                        RequestHandler onRequest);
  /// \return the server's limits with those of a configuration.
  [[nodiscard]] http::HttpServerLimits limited(http::HttpServerLimits limits,
                                               const routing::ClientLimits& configured) const;
  /// Puts the limits of a configuration in force at the listeners for clients.
  void applyClientLimits(const routing::ClientLimits& limits);
  void onClientRequest(http::ServerRequest request, http::ResponseWriterPtr writer);
  void onReadinessRequest(const http::ResponseWriterPtr& writer);
  /// Renders the metrics, or handles an operator's command.
  void onMetricsRequest(const http::ServerRequest& request, const http::ResponseWriterPtr& writer);
  /// Lets a request be sent again although replicas ended under it.
  /// \return false if this node knows of no such request.
  bool releaseFromQuarantine(const routing::RequestKey& request);
  void onDirectoryRequest(const http::ServerRequest& request,
                          const http::ResponseWriterPtr& writer);
  void followConfiguration();
  void followReplicas();
  void followMembers();
  /// Handles a record that operators write: a configuration or a zone evacuation.
  void onOperatorRecord(const std::string& key, const std::string& value);
  void onConfigurationRecord(const std::string& value);
  void onEvacuationRecord(const std::string& zone, const std::string& value);
  void onOperatorRecordsListed(const std::vector<std::string>& keys);
  /// \param source what reported the end of the evacuation, for the log.
  void onEvacuationEnded(const std::string& zone, std::string_view source);
  void onRegistrationLost(const std::string& id, std::string_view source);
  /// Adds the registered replica's software version to the history.
  void noteSoftwareVersion(const std::string& id);
  /// \return whether the store is unavailable, or was until shortly before.
  [[nodiscard]] bool isOrWasStoreUnavailable() const;
  void onReplicaRecord(const std::string& id, const std::string& value);
  [[nodiscard]] bool isUnchangedRegistration(const std::string& older,
                                             const std::string& newer) const;
  void logReplicaChange(const routing::ReplicaEntry& entry);
  /// Clears a start time that lies too far in this node's future.
  void clearImplausibleStart(routing::ReplicaEntry& entry);
  /// \return the start of the replica process on this node's clock; see
  /// `routing::incarnationStartedAt`.
  [[nodiscard]] Instant startTimeOf(const routing::ReplicaEntry& entry) const;
  /// \param before the replica's previous process; null if it was no longer registered.
  void onReplicaRestarted(const routing::ReplicaPtr& before, const routing::Replica& replica);
  void onOutdatedRegistration(const routing::ReplicaEntry& entry);
  /// Removes a replica whose registration cannot be read.
  void onReplicaUnreadable(const std::string& id, const Error& error);
  void onMemberRecord(const std::string& key, const std::string& value);
  /// Counts an unreadable record and logs it within the rate limit.
  void reportUnreadableRecord(RecordKind kind, const std::string& key, const Error& error);
  [[nodiscard]] bool isStarting(std::string_view topic) const;
  void onTopicFresh(std::string_view topic);
  void onTopicStale(std::string_view topic, const logstore::StoreError& error);
  /// \param urgent the change must reach other nodes without delay.
  /// \return whether the announcement was sent.
  bool announce(bool urgent);
  void announceLoop();
  void updateFollowerPauses();
  void loadLoop();
  /// \return this node's reports for its load digest; sections of features that are off are empty.
  [[nodiscard]] routing::LoadReports localReports(const std::vector<routing::ReplicaPtr>& replicas);
  /// Adapts the limits for programs that start, and logs considerable changes.
  /// \param ownReports this node's part of the measurements.
  /// \param otherNodes number of other nodes in service.
  void updateProgramLimits(const std::vector<routing::ServiceReport>& ownReports,
                           std::size_t otherNodes);
  /// \return load and measurements of each service with engines.
  [[nodiscard]] std::vector<routing::ProgramSignal> programSignals(
      const std::vector<routing::ServiceReport>& ownReports) const;
  /// Decides for which services replicas are selected by expected time, and logs changes.
  void updateSpeedSelection();
  void updateReplicaSpeeds(const std::vector<routing::ReplicaPtr>& replicas);
  /// \return the tenants' largest loads at this node; empty while tenants have no shares.
  [[nodiscard]] std::vector<routing::TenantLoad> ownTenantLoads();
  /// \return whether tenants share the replicas of a service while its capacity is scarce.
  [[nodiscard]] bool sharesByTenant() const { return context_.tenantShares != nullptr; }
  /// \param otherNodes nodes that serve clients, without this node.
  void updateTenantShares(std::size_t otherNodes);
  void logTenantShares();
  void addTenantShareMetrics(EdgeSnapshot& values) const;
  /// \return whether this node serves clients, has requests in flight or has just dispatched some.
  [[nodiscard]] bool isUsingReplicas();
  /// \return the load digest addresses of the nodes that serve clients, except this node.
  [[nodiscard]] const LoadPeers& loadPeers();
  [[nodiscard]] routing::RegistrationView registrations() const;
  [[nodiscard]] routing::ColdReplicaSources coldReplicaSources();
  void updateColdReplicas();
  void logColdStateAvailability();
  void flushLoop();
  void sweepLoop();
  void leaseLoop();
  /// \return the earliest time at which the stop signal may have been sent. It is earlier than its
  /// handling if the process was suspended.
  [[nodiscard]] Instant earliestStopSignalTime() const;
  void checkStopped();
  /// Gives all requests that are still open their final answers.
  void endOpenRequests();
  /// \return settlements that this node keeps because no coordinator or the store took them yet.
  [[nodiscard]] std::uint64_t settlementsWaiting() const;
  [[nodiscard]] EdgeSnapshot snapshot() const;
  void addTopicMetrics(EdgeSnapshot& values) const;
  void addProgramAdmissionMetrics(EdgeSnapshot& values) const;
  [[nodiscard]] bool isReady() const;
  /// \return whether this node has internal ports for calls between nodes.
  [[nodiscard]] bool hasPeers() const { return settings_.firstInternalPort != 0; }
  [[nodiscard]] std::string ownRelayAddress() const;
  [[nodiscard]] std::string ownLoadAddress() const;
  /// \return other nodes through which store calls for the partition may be relayed.
  [[nodiscard]] std::vector<std::string> otherRelays(
      const logstore::PartitionAddress& partition) const;
  /// \return the regions besides its own that a client of this host may be sent to; null: any.
  [[nodiscard]] const routing::RegionSet* allowedRegionsOf(const std::string& host) const;
  /// \return the nodes that may host ledger partitions; empty until the members have been listed.
  [[nodiscard]] const std::vector<ledger::NodeCandidate>& ledgerCandidates();
  [[nodiscard]] RequestRecordExchangeKnobs requestRecordKnobs();
  [[nodiscard]] QuotaSources quotaSources();
  [[nodiscard]] TopicReaderSources topicReaderSources();
  /// \return the member record that this node announces.
  [[nodiscard]] MemberRecord ownRecord() const;
  /// \return nodes that may batch announcements; the zone's claimed reader while no member of the
  /// zone is known.
  [[nodiscard]] std::vector<ledger::NodeCandidate> announcementAggregators();
  [[nodiscard]] quota::QuotaAdmission& selectQuotaAdmission();
  void onStorePathChanged(logstore::StoreRoute way);
  void onPeerState(const std::string& ip, membership::MemberState state);
  Result<Success> listenForPeers();

  boost::asio::io_context& ioContext_;
  EdgeSettings settings_;
  routing::ZoneTable zones_;
  /// The newest valid configuration if it was refused because it names an unknown region; empty
  /// otherwise.
  std::string refusedConfiguration_;
  EdgeDependencies dependencies_;
  services::TimerServicePtr timers_;
  std::function<Instant()> clock_;
  EventLog log_;
  EdgeMetrics metrics_;
  PeerMonitor peerMonitor_;
  MemberTable members_;
  RelayedStore relayedStore_;
  logstore::FailoverStore failoverStore_;
  logstore::RetryingStore store_;
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
  routing::SpeedContrast speedContrast_;
  routing::ReplicaSelector selector_;
  routing::AdmissionPolicy admission_;
  routing::EvacuationTable evacuations_;
  routing::RegionRule regionRule_;
  routing::SoftwareVersionRule softwareVersionRule_;
  routing::SignOfLifeRule signOfLifeRule_;
  routing::EvacuationRule evacuationRule_;
  routing::ColdReplicaRule coldReplicas_;
  /// Whether the cold states of replicas were known when last logged; unset if never logged.
  std::optional<bool> loggedColdKnown_;
  routing::ReplicaPlacement placement_;
  routing::FleetLoad fleetLoad_;
  routing::TenantShares tenantShares_{{}};
  routing::TenantShareChanges tenantShareChanges_{{}};
  /// Services whose capacity was scarce when last logged.
  std::set<std::string, std::less<>> loggedScarceServices_;
  LoadExchange loadExchange_;
  QuotaExchange quotaExchange_;
  quota::StaticShares staticShares_;
  routing::ServiceTimes serviceTimes_;
  routing::SoftwareVersionHistory versionHistory_{{}};
  RequestRecordExchange requestRecords_;
  SurvivalProofs survivalProofs_;
  EdgeContext context_;
  std::shared_ptr<http::RequestMemory> requestMemory_;
  std::shared_ptr<http::ConnectionLimit> clientConnections_;
  std::shared_ptr<http::ConnectionLimit> peerConnections_;
  http::HttpServerPtr clientServer_;
  http::HttpServerPtr readinessServer_;
  http::HttpServerPtr directoryServer_;
  http::HttpServerPtr peerServer_;
  http::HttpServerPtr metricsServer_;
  std::shared_ptr<logstore::KeyedTopicFollower> configurationFollower_;
  std::shared_ptr<logstore::KeyedTopicFollower> replicaFollower_;
  std::shared_ptr<logstore::KeyedTopicFollower> memberFollower_;
  std::uint64_t seed_;
  std::uint64_t announcementSequence_ = 0;
  bool announcedReady_ = false;
  UnreadableRecords unreadableRecords_;
  /// Requests that were refused before they were read, by reason.
  std::map<std::string, std::uint64_t, std::less<>> requestsUnreadable_;
  bool membersListed_ = false;
  bool replicasListed_ = false;
  /// Registrations whose start time lies in this node's future.
  std::uint64_t implausibleStarts_ = 0;
  std::vector<ledger::NodeCandidate> ledgerCandidates_;  ///< Cached at `ledgerCandidatesAt_`.
  Instant ledgerCandidatesAt_;
  LoadPeers loadPeers_;  ///< Cached at `loadPeersAt_`.
  /// Client addresses of the nodes that serve clients; cached at `loadPeersAt_`.
  std::vector<std::string> clientNodeAddresses_;
  std::vector<routing::RingMember> ringMembers_;  ///< All members; cached at `loadPeersAt_`.
  Instant loadPeersAt_;
  bool servesClients_ = false;  ///< Whether the directory names this node.
  /// Whether any replica had requests of this node in flight at `loadScannedAt_`.
  bool hasRequestsInFlight_ = false;
  Instant loadScannedAt_;
  std::uint64_t lastDispatchCount_ = 0;
  /// Followed topics whose reads currently fail.
  std::set<std::string, std::less<>> unavailableTopics_;
  /// Followed topics that were read at least once since the start.
  std::set<std::string, std::less<>> everReadTopics_;
  Instant startedAt_;
  std::optional<Instant> storeRecoveredAt_;
  Instant lastFlushAt_;  ///< Time of the last run of `flushLoop`.
  std::function<void()> onStopped_;
};

}  // namespace gorsetrail::edge
