#include "edge/edge_daemon.h"

#include <algorithm>
#include <array>
#include <utility>

#include "base/steady_clock.h"
#include "edge/edge_daemon_shared.h"
#include "edge/edge_knobs.h"
#include "edge/exchange.h"
#include "edge/exchange_shared.h"
#include "edge/nearest_nodes.h"
#include "routing/region_policy.h"

namespace gorsetrail::edge {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotFound = 404;
constexpr Duration kFlushPeriod = milliseconds(250);
/// If the flush loop is late by more than this many periods, the process was suspended. A busy loop
/// is late by less than one period.
constexpr int kSuspendedAfterMissedFlushes = 3;
constexpr Duration kSweepPeriod = seconds(10);
constexpr Duration kLeasePeriod = seconds(1);
constexpr Duration kStopCheckPeriod = milliseconds(100);
/// Time to live of directory answers; bounds how long clients use the address of a dead node.
constexpr double kAddressTtlSeconds = 1.0;
/// When a request comes back for which there was no memory: by then requests that stalled have
/// given way.
constexpr Duration kRetryAfterMemory = seconds(1);
constexpr Duration kServerSweepPeriod = seconds(2);

/// \return the HTTP status for a request that could not be read.
unsigned statusOf(http::ProtocolFault fault) {
  constexpr unsigned kBadRequest = 400;
  constexpr unsigned kMethodNotAllowed = 405;
  constexpr unsigned kTimeout = 408;
  constexpr unsigned kBodyTooLarge = 413;
  constexpr unsigned kHeadTooLarge = 431;
  switch (fault) {
    case http::ProtocolFault::HeadTooLarge:
      return kHeadTooLarge;
    case http::ProtocolFault::BodyTooLarge:
      return kBodyTooLarge;
    case http::ProtocolFault::RequestTimedOut:
      return kTimeout;
    case http::ProtocolFault::MethodNotAllowed:
      return kMethodNotAllowed;
    case http::ProtocolFault::OutOfMemory:
      return kUnavailable;
    case http::ProtocolFault::Malformed:
      break;
  }
  return kBadRequest;
}

/// \return why a request could not be read, as a stable name.
std::string_view reasonOf(http::ProtocolFault fault) {
  switch (fault) {
    case http::ProtocolFault::HeadTooLarge:
      return "head_too_large";
    case http::ProtocolFault::BodyTooLarge:
      return "body_too_large";
    case http::ProtocolFault::RequestTimedOut:
      return "too_slow";
    case http::ProtocolFault::MethodNotAllowed:
      return "method_not_allowed";
    case http::ProtocolFault::OutOfMemory:
      return "request_memory_taken";
    case http::ProtocolFault::Malformed:
      break;
  }
  return "malformed";
}

}  // namespace

EdgeDaemon::EdgeDaemon(boost::asio::io_context& context, EdgeSettings settings,
                       EdgeDependencies dependencies, std::uint64_t seed)
    : ioContext_(context),
      settings_(std::move(settings)),
      zones_(settings_.regionOfZone),
      dependencies_(dependencies),
      timers_(services::makeTimerService(context)),
      clock_(steadyNow),
      log_(dependencies.log, clock_, {}),
      // The system clock may jump backwards between two processes of a node. The failure detector
      // tolerates incarnations that are not increasing.
      peerMonitor_(
          context, *timers_, clock_, Incarnation(unixTimeMilliseconds()), {}, seed,
          [this](const std::string& ip, membership::MemberState state) { onPeerState(ip, state); }),
      members_({},
               [this](const std::string& ip) {
                 return settings_.uses(Mechanism::PeerProbes) && peerMonitor_.isSuspectedOrDead(ip);
               }),
      relayedStore_(
          dependencies.peers,
          [this](const logstore::PartitionAddress& partition) { return otherRelays(partition); },
          seed),
      failoverStore_(dependencies.store, relayedStore_, clock_, {},
                     [this](logstore::StoreRoute way) { onStorePathChanged(way); }),
      store_(failoverStore_, *timers_, clock_, storePaceOf(settings_), seed),
      relayServer_(dependencies.store),
      announcer_(failoverStore_, *timers_, clock_, {kMemberTopic, 0},
                 [this](const std::string& address, logstore::AppendRequest request,
                        logstore::StoreCallback<logstore::AppendReply> callback) {
                   relayedStore_.appendThrough(address, std::move(request), std::move(callback));
                 },
                 {}),
      configurationCopy_(
          [](const std::string& older, const std::string& newer) { return older == newer; }),
      replicaCopy_([this](const std::string& older, const std::string& newer) {
        return isUnchangedRegistration(older, newer);
      }),
      memberCopy_([](const std::string&, const std::string&) { return false; }),
      configurationGateway_(store_, *timers_, clock_, configurationPartition(), configurationCopy_,
                            {}),
      replicaGateway_(store_, *timers_, clock_, replicaPartition(), replicaCopy_, {}),
      memberGateway_(store_, *timers_, clock_, {kMemberTopic, 0}, memberCopy_, {}),
      topicReaders_(
          store_, *timers_, clock_, {kReaderTopic, 0},
          {relayAddressOf(settings_), settings_.zone, capacityOf(settings_)},
          [this] { return ownRecord(); },
          [this](const std::string& address) {
            log_.logImportant("topic_reader", {{"zone", settings_.zone}, {"address", address}});
            // All three are retried together: a node with a configuration but without members would
            // refuse turns, because it could not find the nodes that hold their budgets.
            memberFollower_->retryNow();
            replicaFollower_->retryNow();
            configurationFollower_->retryNow();
          },
          {}, seed),
      sharedTopics_(store_, relayedStore_, relayAddressOf(settings_), settings_.zone,
                    topicReaderSources(), clock_, {}),
      localLedger_(store_, *timers_, clock_, ledgerKnobs(seed)),
      ledgerService_(localLedger_),
      ledgerPeers_(
          dependencies_.peers, [this] { return membersListed_; },
          [this] { return ledgerCandidates(); }),
      ledger_(ledgerService_, ledgerPeers_, *timers_, clock_, routedLedgerKnobs(), seed),
      ledgerServer_(ledgerService_),
      routes_(seed),
      speedContrast_({}),
      selector_(settings_.zone, selectorKnobsOf(settings_), &zones_, &speedContrast_),
      admission_(admissionKnobsOf(settings_)),
      regionRule_(zones_, {}),
      evacuationRule_(evacuations_, {}),
      coldReplicas_(coldReplicaKnobsOf(settings_), coldReplicaSources(), settings_.listen.clients,
                    seed),
      // The region rule comes first: a replica that it excludes is no reason to wait for capacity.
      placement_(replicas_, selector_, admission_,
                 {&regionRule_, &softwareVersionRule_, &evacuationRule_, &signOfLifeRule_,
                  &coldReplicas_}),
      fleetLoad_({}, routing::regionHashOf(zones_.regionOf(settings_.zone))),
      loadExchange_(
          context, {}, seed, routing::regionHashOf(zones_.regionOf(settings_.zone)),
          [this](routing::LoadDigest digest) { fleetLoad_.onDigest(std::move(digest), clock_()); }),
      quotaExchange_(context, *timers_, clock_, quotaSources(), seed),
      staticShares_([this] { return quotaExchange_.ownShare(); }, clock_),
      serviceTimes_(serviceTimesKnobsOf(settings_)),
      requestRecords_(
          context, *timers_, clock_,
          {[this]() -> const std::vector<ledger::NodeCandidate>& { return ledgerCandidates(); },
           [this] { return members_.relayAddresses(); }, &zones_},
          settings_.zone, [this] { return registrations(); }, requestRecordKnobs(), seed),
      survivalProofs_(*timers_, clock_, dependencies.client, requestRecords_.runHistories()),
      context_{dependencies.wire,
               routes_,
               placement_,
               ledger_,
               selectQuotaAdmission(),
               dependencies.client,
               *timers_,
               clock_,
               log_,
               metrics_,
               {},
               {},
               exchangeKnobsOf(settings_),
               std::nullopt,
               TurnRetentionPolicy(turnRetentionKnobsOf(settings_)),
               programAdmissionOf(settings_),
               &serviceTimes_,
               RetryControl(retryControlKnobsOf(settings_), seed),
               usesTenantShares(settings_) ? &tenantShares_ : nullptr,
               &requestRecords_,
               [this](std::string_view service, Duration streamLifetime) {
                 return versionHistory_.onlyVersionOf(service, replicas_, streamLifetime, clock_());
               },
               &requestRecords_.runHistories(),
               &survivalProofs_,
               AnswerMemory(maximumAnswerBytesOf(settings_))},
      requestMemory_(std::make_shared<http::RequestMemory>(requestMemoryLimitsOf(settings_))),
      clientConnections_(std::make_shared<http::ConnectionLimit>(clientConnectionsOf(settings_))),
      peerConnections_(std::make_shared<http::ConnectionLimit>(peerConnectionsOf(settings_))),
      seed_(seed) {}

EdgeDaemon::~EdgeDaemon() { log_.flush(); }

ledger::LedgerKnobs EdgeDaemon::ledgerKnobs(std::uint64_t incarnation) {
  ledger::LedgerKnobs knobs = ledgerKnobsOf(settings_, incarnation);
  knobs.budgets.onOwnLease = [this](const logstore::PartitionAddress& partition,
                                    const ledger::BudgetLease& lease) {
    const bool isHeld = lease.state == ledger::BudgetLeaseState::Held;
    const bool isPrimary = lease.slot == ledger::BudgetLeaseSlot::Primary;
    log_.logImportant("budget_lease", {{"partition", logstore::textOf(partition)},
                                       {"lease", lease.lease},
                                       {"state", isHeld ? "held" : "dropped"},
                                       {"slot", isPrimary ? "primary" : "secondary"},
                                       {"witnesses", std::uint64_t{lease.witnesses.size()}}});
  };
  knobs.budgets.onLeaseRecovery =
      [this](const logstore::PartitionAddress& partition, const ledger::BudgetLease& lease,
             ledger::LeaseRecoveryOutcome outcome, std::size_t recoveredGrants) {
        log_.logImportant("budget_lease_recovery",
                          {{"partition", logstore::textOf(partition)},
                           {"lease", lease.lease},
                           {"holder", lease.holder},
                           {"outcome", ledger::leaseRecoveryOutcomeName(outcome)},
                           {"witnesses", std::uint64_t{lease.witnesses.size()}},
                           {"recovered_grants", std::uint64_t{recoveredGrants}}});
      };
  knobs.budgets.onGrantRecovered = [this](const logstore::PartitionAddress& partition,
                                          const ledger::BudgetLease& lease,
                                          const ledger::BudgetReservation& grant) {
    log_.logRoutine("budget_grant_recovered", {{"request", grant.request},
                                               {"program", grant.program},
                                               {"partition", logstore::textOf(partition)},
                                               {"lease", lease.lease},
                                               {"tokens", grant.tokens}});
  };
  return knobs;
}

ledger::RoutedLedgerKnobs EdgeDaemon::routedLedgerKnobs() {
  ledger::RoutedLedgerKnobs knobs;
  knobs.ownAddress = relayAddressOf(settings_);
  knobs.zone = settings_.zone;
  knobs.zones = settings_.zones;
  knobs.regionOfZone = settings_.regionOfZone;
  knobs.partitions.partitionsPerTopic = settings_.store.partitionsPerTopic;
  if (!settings_.uses(Mechanism::SecondPartitions)) {
    knobs.usesSecondPartitions = false;
  }
  knobs.onSuspicionChanged = [this](const std::string& address, bool isUnresponsive) {
    log_.logImportant(isUnresponsive ? "node_silent" : "node_answers", {{"address", address}});
  };
  knobs.onSettledLate = [this](const ledger::BudgetSettlement& settlement, Duration afterEnd) {
    log_.logRoutine("settled_late", {{"request", settlement.request},
                                     {"program", settlement.program},
                                     {"tokens", settlement.tokens},
                                     {"after_end_ms", wholeMilliseconds(afterEnd)}});
  };
  knobs.onSettlementsDropped = [this](std::size_t count, std::string_view reason) {
    log_.logImportant("settlements_dropped", {{"count", std::uint64_t{count}}, {"reason", reason}});
  };
  return knobs;
}

RequestRecordExchangeKnobs EdgeDaemon::requestRecordKnobs() {
  RequestRecordExchangeKnobs knobs;
  knobs.runHistories.histories.onSettled = [this](const routing::RequestKey& request,
                                                  const routing::ReplicaRun& run,
                                                  routing::RunEvidence evidence) {
    log_.logRoutine("run_settled", {{"request_key", routing::textOf(request)},
                                    {"run", run.number},
                                    {"replica", run.replicaId},
                                    {"state", routing::runStateName(run.state)},
                                    {"by", routing::runEvidenceName(evidence)},
                                    {"age_ms", wholeMilliseconds(clock_() - run.at)}});
  };
  return knobs;
}

QuotaSources EdgeDaemon::quotaSources() {
  QuotaSources sources;
  sources.candidates = [this]() -> const std::vector<ledger::NodeCandidate>& {
    return ledgerCandidates();
  };
  sources.members = [this] { return members_.relayAddresses(); };
  sources.memberCount = [this] { return membersListed_ ? members_.size() : 0; };
  sources.tenants = [this] { return routes_.inForce() ? routes_.inForce()->tenants : nullptr; };
  sources.onCoordinatorChanged = [this](std::uint32_t partition, const std::string& address) {
    log_.logImportant("quota_coordinator",
                      {{"partition", std::uint64_t{partition}}, {"address", address}});
  };
  return sources;
}

TopicReaderSources EdgeDaemon::topicReaderSources() {
  TopicReaderSources sources;
  sources.candidates = [this] {
    return capableNodes(nearestNodes(ledgerCandidates(), settings_.zone, zones_));
  };
  sources.claimedReader = [this] { return topicReaders_.reader(); };
  sources.isClaimedReader = [this] { return topicReaders_.isReader(); };
  sources.onUnreachable = [this](const std::string& address) {
    topicReaders_.onUnreachable(address);
  };
  sources.onAnswered = [this](const std::string& address) { topicReaders_.onAnswered(address); };
  sources.onNoAnswer = [this](const std::string& address) { topicReaders_.onNoAnswer(address); };
  sources.onNoReader = [this] { topicReaders_.onNoReader(); };
  sources.members = [this] { return members_.size(); };
  return sources;
}

quota::QuotaAdmission& EdgeDaemon::selectQuotaAdmission() {
  if (settings_.uses(Mechanism::QuotaTokens)) {
    return quotaExchange_;
  }
  return staticShares_;
}

// An unreadable registration counts as changed, so that each node counts every write of it. The
// heartbeats in such a record cannot be distinguished from other changes.
bool EdgeDaemon::isUnchangedRegistration(const std::string& older, const std::string& newer) const {
  return dependencies_.documents.sameRegistration(older, newer) &&
         (!unreadableRecords_.hasAny(RecordKind::Replica) ||
          succeeded(dependencies_.documents.readReplicaEntry({}, newer)));
}

Result<Success> EdgeDaemon::start() {
  auto listening = listen();
  if (!succeeded(listening)) {
    return listening;
  }
  startedAt_ = clock_();
  log_.logImportant("started", {{"node", settings_.nodeName},
                                {"zone", settings_.zone},
                                {"clients", settings_.listen.clients},
                                {"store", settings_.store.address}});
  if (settings_.uses(Mechanism::TopicGateways)) {
    topicReaders_.start();
  }
  followConfiguration();
  followReplicas();
  followMembers();
  announceLoop();
  loadLoop();
  flushLoop();
  sweepLoop();
  leaseLoop();
  return Success{};
}

Result<Success> EdgeDaemon::serve(http::HttpServerPtr& server, const std::string& address,
                                  Callers callers, RequestHandler onRequest) {
  if (address.empty()) {
    return Success{};
  }
  http::HttpServerOptions options;
  options.listenAddress = address;
  options.memory = requestMemory_;
  options.knobs = limited(options.knobs, routing::ClientLimits{});
  const bool isForPeers = callers == Callers::OtherNodes;
  options.connections = isForPeers ? peerConnections_ : clientConnections_;
  options.knobs.receiveBufferBytes = isForPeers ? 0 : kReceiveBufferBytes;
  options.knobs.sweepPeriod = kServerSweepPeriod;
  options.knobs.maximumUntakenBytes = maximumUnreadBytesOf(settings_);
  options.onRequest = std::move(onRequest);
  options.onUnreadable = [this](http::ProtocolFault fault, const http::ServerRequest& read) {
    const std::string_view reason = reasonOf(fault);
    ++requestsUnreadable_[std::string(reason)];
    log_.logRefusal("request_unreadable", {{}, reason},
                    {{"request", dependencies_.wire.requestIdOf(read)},
                     {"status", std::uint64_t{statusOf(fault)}},
                     {"reason", reason}});
  };
  options.onFault = [](http::ProtocolFault fault) {
    http::WholeResponse response{statusOf(fault), {}, {}};
    if (fault == http::ProtocolFault::OutOfMemory) {
      response.headers.push_back({"Retry-After", std::to_string(kRetryAfterMemory / seconds(1))});
    }
    return response;
  };
  auto made = http::makeHttpServer(ioContext_, std::move(options));
  if (!succeeded(made)) {
    return errorOf(made);
  }
  server = std::move(valueOf(made));
  return Success{};
}

http::HttpServerLimits EdgeDaemon::limited(http::HttpServerLimits limits,
                                           const routing::ClientLimits& configured) const {
  limits.maximumHeadBytes = configured.maximumHeadBytes;
  // A longer body could never be admitted: its client is told so, and not to come back.
  limits.maximumBodyBytes =
      std::min(configured.maximumBodyBytes, requestMemory_->limits().maximumBodyBytes());
  limits.headTimeLimit = configured.headTimeLimit;
  limits.idleTimeLimit = configured.idleTimeLimit;
  return limits;
}

void EdgeDaemon::applyClientLimits(const routing::ClientLimits& limits) {
  for (const http::HttpServerPtr* server : {&clientServer_, &directoryServer_}) {
    if (*server) {
      (*server)->setLimits(limited((*server)->limits(), limits));
    }
  }
}

Result<Success> EdgeDaemon::listen() {
  const auto onClient = [this](http::ServerRequest request, http::ResponseWriterPtr writer) {
    onClientRequest(std::move(request), std::move(writer));
  };
  const auto onReadiness = [this](const http::ServerRequest& /*request*/,
                                  const http::ResponseWriterPtr& writer) {
    onReadinessRequest(writer);
  };
  const auto onDirectory = [this](const http::ServerRequest& request,
                                  const http::ResponseWriterPtr& writer) {
    onDirectoryRequest(request, writer);
  };
  if (settings_.uses(Mechanism::TopicGateways)) {
    sharedTopics_.routeThroughReader(configurationPartition(), configurationGateway_);
    sharedTopics_.routeThroughReader(replicaPartition(), replicaGateway_);
    sharedTopics_.routeThroughReader({kMemberTopic, 0}, memberGateway_);
  }
  relayServer_.interceptReads([this](const logstore::ReadRequest& request,
                                     const logstore::StoreCallback<logstore::ReadReply>& reply) {
    logstore::TopicGateway* const gateway = sharedTopics_.gatewayOf(request.partition);
    if (gateway != nullptr) {
      gateway->read(request, reply);
    }
    return gateway != nullptr;
  });
  relayServer_.interceptListings(
      [this](const logstore::NewestRequest& request,
             const logstore::StoreCallback<logstore::NewestReply>& reply) {
        logstore::TopicGateway* const gateway = sharedTopics_.gatewayOf(request.partition);
        if (gateway != nullptr) {
          gateway->listLatest(request, reply);
        }
        return gateway != nullptr;
      });
  relayServer_.interceptAppends({kMemberTopic, 0},
                                [this](logstore::AppendRequest request,
                                       logstore::StoreCallback<logstore::AppendReply> callback) {
                                  announcer_.aggregate(std::move(request), std::move(callback));
                                });
  const auto onPeer = [this](const http::ServerRequest& request, http::ResponseWriterPtr writer) {
    if (request.target == kLedgerPath || request.target == kAlivePath) {
      ledgerServer_.onRequest(request, std::move(writer));
    } else {
      relayServer_.onRequest(request, std::move(writer));
    }
  };
  const auto onMetrics = [this](const http::ServerRequest& request,
                                const http::ResponseWriterPtr& writer) {
    onMetricsRequest(request, writer);
  };
  const std::array<Result<Success>, 6> results = {
      serve(clientServer_, settings_.listen.clients, Callers::Outside, onClient),
      serve(readinessServer_, settings_.listen.readiness, Callers::Outside, onReadiness),
      serve(directoryServer_, settings_.listen.directory, Callers::Outside, onDirectory),
      serve(metricsServer_, settings_.listen.metrics, Callers::Outside, onMetrics),
      serve(peerServer_, hasPeers() ? ownRelayAddress() : std::string(), Callers::OtherNodes,
            onPeer),
      listenForPeers()};
  for (const Result<Success>& result : results) {
    if (!succeeded(result)) {
      return result;
    }
  }
  return Success{};
}

logstore::PartitionAddress EdgeDaemon::configurationPartition() const {
  return {dependencies_.documents.configurationTopic(), 0};
}

logstore::PartitionAddress EdgeDaemon::replicaPartition() const {
  return {dependencies_.documents.replicaTopic(), 0};
}

std::string EdgeDaemon::ownRelayAddress() const { return relayAddressOf(settings_); }

void EdgeDaemon::onStorePathChanged(logstore::StoreRoute way) {
  log_.logImportant("store_way",
                    {{"way", way == logstore::StoreRoute::Direct ? "direct" : "relay"}});
}

void EdgeDaemon::onClientRequest(http::ServerRequest request, http::ResponseWriterPtr writer) {
  std::make_shared<Exchange>(context_, dependencies_.wire.readRequest(std::move(request)),
                             std::move(writer))
      ->start();
}

bool EdgeDaemon::isReady() const {
  return !context_.stop && routes_.inForce() != nullptr && evacuations_.isKnown() &&
         replicas_.size() > 0;
}

void EdgeDaemon::onMetricsRequest(const http::ServerRequest& request,
                                  const http::ResponseWriterPtr& writer) {
  constexpr std::string_view kQuarantinePath = "/quarantine/";
  if (request.method == "DELETE" && request.target.starts_with(kQuarantinePath)) {
    const auto key = routing::requestKeyFrom(request.target.substr(kQuarantinePath.size()));
    writer->sendWhole({key && releaseFromQuarantine(*key) ? kNoContent : kNotFound, {}, {}});
    return;
  }
  writer->sendWhole(
      {kOk, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.render(snapshot())});
}

bool EdgeDaemon::releaseFromQuarantine(const routing::RequestKey& request) {
  RunHistorySharing& runs = requestRecords_.runHistories();
  if (!runs.hasHistory(request)) {
    return false;
  }
  log_.logImportant("quarantine_released", {{"request_key", routing::textOf(request)}});
  runs.clear(request, std::nullopt, clock_(), routing::RunEvidence::Operator);
  return true;
}

void EdgeDaemon::onReadinessRequest(const http::ResponseWriterPtr& writer) {
  writer->sendWhole({isReady() ? kOk : kUnavailable, {}, {}});
}

const routing::RegionSet* EdgeDaemon::allowedRegionsOf(const std::string& host) const {
  const routing::ConfigurationPtr& configuration = routes_.inForce();
  return configuration && configuration->regions ? configuration->regions->regionsOfHost(host)
                                                 : nullptr;
}

void EdgeDaemon::onDirectoryRequest(const http::ServerRequest& request,
                                    const http::ResponseWriterPtr& writer) {
  const auto query = dependencies_.wire.readDirectoryQuery(request);
  if (!query) {
    writer->sendWhole({kNotFound, {}, {}});
    return;
  }
  ClientLocation client{query->zone, zones_.regionOf(query->zone), &zones_,
                        allowedRegionsOf(query->host)};
  if (client.region.empty()) {
    client.region = query->region;
  }
  std::vector<std::string> addresses =
      members_.clientAddresses(client, [this](const std::string& relay) {
        return settings_.uses(Mechanism::DirectoryChoice) && ledger_.isSuspect(relay);
      });
  if (addresses.empty() && isReady() && client.allows(settings_.zone)) {
    addresses.push_back(settings_.listen.clients);
  }
  if (addresses.empty()) {
    writer->sendWhole({kUnavailable, {}, {}});
    return;
  }
  const double ttl = std::min(kAddressTtlSeconds, settings_.bounds.maximumAddressTtlSeconds);
  writer->sendWhole(dependencies_.wire.makeDirectoryAnswer(addresses, ttl));
}

void EdgeDaemon::flushLoop() {
  lastFlushAt_ = clock_();
  log_.flush();
  timers_->runAfter(kFlushPeriod, [this] { flushLoop(); });
}

void EdgeDaemon::sweepLoop() {
  ledger_.sweep();
  localLedger_.sweep();
  for (const std::string& forgotten : members_.removeExpired()) {
    peerMonitor_.forget(forgotten);
  }
  timers_->runAfter(kSweepPeriod, [this] { sweepLoop(); });
}

void EdgeDaemon::leaseLoop() {
  if (context_.stop) {
    ledger_.releaseLeases();
  } else {
    ledger_.maintainLeases();
  }
  timers_->runAfter(context_.stop ? kStopCheckPeriod : kLeasePeriod, [this] { leaseLoop(); });
}

void EdgeDaemon::reload(EdgeSettings settings) {
  settings.listen = settings_.listen;
  settings.disabledMechanisms = settings_.disabledMechanisms;
  settings_ = std::move(settings);
  log_.logImportant("reloaded", {{"node", settings_.nodeName}, {"store", settings_.store.address}});
  onZonesChanged();
}

void EdgeDaemon::reportInvalidReload(const std::vector<Error>& errors) {
  for (const Error& error : errors) {
    log_.logImportant("reload_refused", {{"error", error.toText()}});
  }
}

void EdgeDaemon::beginStop(std::function<void()> onStopped) {
  if (context_.stop) {
    return;
  }
  context_.stop.emplace(earliestStopSignalTime(), settings_.bounds.stopLimit);
  onStopped_ = std::move(onStopped);
  log_.logImportant("stop_begun", {{"open_requests", clientServer_->counters().responsesOpen}});
  announce(true);
  quotaExchange_.endCoordination();
  clientServer_->beginDrain(http::IdleConnections::Keep);
  checkStopped();
}

// A suspended process does not see the stop signal while the operator's limit runs, so the signal
// may have been sent right after the process last ran. Assuming this keeps the process from waiting
// for open requests beyond the limit and being killed.
Instant EdgeDaemon::earliestStopSignalTime() const {
  const Instant now = clock_();
  const bool wasSuspended = now - lastFlushAt_ > kFlushPeriod * kSuspendedAfterMissedFlushes;
  return wasSuspended ? lastFlushAt_ : now;
}

void EdgeDaemon::checkStopped() {
  const Instant now = clock_();
  if (now >= context_.stop->finalAnswersAt()) {
    endOpenRequests();
  }
  const std::uint64_t open = clientServer_->counters().responsesOpen;
  // Reservations whose settlements end with this process would count in full.
  const std::uint64_t unsettled = settlementsWaiting();
  const bool isDone = now >= context_.stop->earliestExitAt() && open == 0 && unsettled == 0;
  if (isDone || now >= context_.stop->latestExitAt()) {
    log_.logImportant("stopped", {{"open_requests", open}, {"settlements_waiting", unsettled}});
    log_.flush();
    onStopped_();
    return;
  }
  timers_->runAfter(kStopCheckPeriod, [this] { checkStopped(); });
}

void EdgeDaemon::endOpenRequests() {
  const auto open = context_.openExchanges;  // Each one leaves the table when it ends.
  for (const auto& [address, weak] : open) {
    if (const auto exchange = weak.lock()) {
      exchange->onStopLimit();
    }
  }
}

std::uint64_t EdgeDaemon::settlementsWaiting() const {
  return ledger_.settlementsWaiting() + localLedger_.unrecordedSettlements();
}

}  // namespace gorsetrail::edge
