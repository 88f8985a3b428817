// The part of `EdgeDaemon` that deals with other nodes: announcements, probes, load exchange.
#include <algorithm>
#include <utility>

#include "edge/edge_daemon.h"
#include "edge/edge_daemon_shared.h"
#include "edge/edge_knobs.h"

namespace gorsetrail::edge {
namespace {

/// The pause between two reads of the replicas is the larger of the minimum and this time per
/// member of the zone, which bounds the load of the zone's reader to 250 reads per second.
constexpr Duration kMinimumReplicaPause = milliseconds(400);
constexpr Duration kReplicaPausePerMember = milliseconds(4);
/// Pause between two reads of the members, per member of the zone. Bounds the load of the zone's
/// reader to 100 reads per second. Probes report failures sooner.
constexpr Duration kMemberPausePerMember = milliseconds(10);
/// Interval at which a node checks if its changed readiness can be announced: a fifth of the
/// shortest heartbeat interval.
constexpr Duration kAnnounceCheckPeriod = milliseconds(200);
constexpr Duration kLoadPeriod = milliseconds(100);
/// Interval at which a node without requests scans its replicas, to end lapsed and cold states.
constexpr Duration kIdleLoadPeriod = seconds(1);
/// Lifetime of the cached list of nodes that serve clients. The list changes when a node starts or
/// ends, and clients learn of that within a second too.
constexpr Duration kLoadPeersCacheTime = milliseconds(500);
/// Lifetime of the cached host candidates; otherwise each ledger call would rebuild the list from
/// all members, which change their state less often than this.
constexpr Duration kLedgerCandidatesCacheTime = milliseconds(50);

/// Limit of log lines in one scan of the replicas: the return of a zone changes all its replicas at
/// once.
constexpr std::size_t kMaximumColdLines = 32;

}  // namespace

Result<Success> EdgeDaemon::listenForPeers() {
  if (!hasPeers()) {
    return Success{};
  }
  auto loads = loadExchange_.listen(ownLoadAddress());
  if (!succeeded(loads)) {
    return loads;
  }
  constexpr std::uint16_t kProbePortOffset =
      2;  // Offset 0: store and ledger calls; 1: load digests.
  auto probes = peerMonitor_.listen(settings_.ip, settings_.firstInternalPort + kProbePortOffset);
  if (!succeeded(probes)) {
    return probes;
  }
  constexpr std::uint16_t kQuotaPortOffset = 3;
  auto quotas = quotaExchange_.listen(settings_.ip, settings_.firstInternalPort + kQuotaPortOffset);
  if (!succeeded(quotas)) {
    return quotas;
  }
  constexpr std::uint16_t kRequestRecordPortOffset = 4;
  return requestRecords_.listen(settings_.ip,
                                settings_.firstInternalPort + kRequestRecordPortOffset);
}

void EdgeDaemon::onPeerState(const std::string& ip, membership::MemberState state) {
  const bool isSuspectedOrDead =
      state == membership::MemberState::Suspected || state == membership::MemberState::Dead;
  // Logged as routine, because every node learns of every suspect: 60 lines per second in a
  // starting fleet of 1,000 nodes.
  log_.logRoutine(isSuspectedOrDead ? "peer_silent" : "peer_answers",
                  {{"node", ip}, {"state", membership::memberStateName(state)}});
}

std::string EdgeDaemon::ownLoadAddress() const {
  return settings_.ip + ":" + std::to_string(settings_.firstInternalPort + 1);
}

std::vector<std::string> EdgeDaemon::otherRelays(
    const logstore::PartitionAddress& partition) const {
  // The content of a turn confined to a region is relayed only through nodes of this region.
  const auto confinedTo = ledger::LedgerPartitions::confinedZoneOf(partition);
  std::vector<std::string> addresses;
  for (const MemberRecord& member : members_.liveMembers()) {
    const bool isAllowed =
        !confinedTo || zones_.between(*confinedTo, member.zone) != routing::Distance::OtherRegion;
    if (isAllowed && !member.relayAddress.empty() && member.relayAddress != ownRelayAddress()) {
      addresses.push_back(member.relayAddress);
    }
  }
  if (!addresses.empty() || confinedTo) {
    return addresses;
  }
  // No member is known yet. All nodes use the same ports, so the relay address follows from the
  // seed's address.
  for (const std::string& seed : settings_.seeds) {
    std::string relay =
        seed.substr(0, seed.rfind(':') + 1) + std::to_string(settings_.firstInternalPort);
    if (relay != ownRelayAddress()) {
      addresses.push_back(std::move(relay));
    }
  }
  return addresses;
}

const std::vector<ledger::NodeCandidate>& EdgeDaemon::ledgerCandidates() {
  const Instant now = clock_();
  if (!membersListed_ || now - ledgerCandidatesAt_ < kLedgerCandidatesCacheTime) {
    return ledgerCandidates_;
  }
  ledgerCandidatesAt_ = now;
  ledgerCandidates_.clear();
  for (const MemberRecord& member : members_.liveMembers()) {
    if (!member.relayAddress.empty() && !member.leaving) {
      ledgerCandidates_.push_back({member.relayAddress, member.zone, member.capacity});
    }
  }
  return ledgerCandidates_;
}

MemberRecord EdgeDaemon::ownRecord() const {
  return {settings_.nodeName,
          settings_.zone,
          settings_.listen.clients,
          hasPeers() ? ownRelayAddress() : std::string(),
          !isReady(),
          announcementSequence_,
          capacityOf(settings_)};
}

std::vector<ledger::NodeCandidate> EdgeDaemon::announcementAggregators() {
  const std::vector<ledger::NodeCandidate>& members = ledgerCandidates();
  const bool hasZone = std::any_of(
      members.begin(), members.end(),
      [this](const ledger::NodeCandidate& member) { return member.zone == settings_.zone; });
  const std::string reader = topicReaders_.reader();
  if (hasZone || reader.empty()) {
    return members;
  }
  return {{reader, settings_.zone, 1.0}};
}

bool EdgeDaemon::announce(bool urgent) {
  ++announcementSequence_;
  return announcer_.announce(ownRelayAddress(), settings_.ip, ownRecord(),
                             announcementAggregators(), urgent);
}

// Announcements wait until the members have been listed. Before that no aggregator is known, and
// hundreds of nodes that append individually would fill the partition and delay the listings. A
// restarted node is still listed, and probes show that it is alive.
void EdgeDaemon::announceLoop() {
  const bool ready = isReady();
  bool isReadinessAnnounced = announcedReady_ == ready;
  if (membersListed_ && (ready || announcedReady_) && announce(false)) {
    announcedReady_ = ready;
    isReadinessAnnounced = true;
  }
  updateFollowerPauses();
  const bool isSteady = membersListed_ && ready && isReadinessAnnounced;
  timers_->runAfter(isSteady ? members_.heartbeat() : kAnnounceCheckPeriod,
                    [this] { announceLoop(); });
}

// All nodes of a zone read through its reader, so the pauses grow with the zone, up to the limit
// that the drain time allows.
void EdgeDaemon::updateFollowerPauses() {
  const auto members = static_cast<Duration::rep>(members_.countServingIn(settings_.zone));
  const Duration longest = settings_.bounds.drain / 2;
  replicaFollower_->setPause(
      std::clamp(kReplicaPausePerMember * members, kMinimumReplicaPause, longest));
  memberFollower_->setPause(std::max(kMemberPausePerMember * members, kMinimumMemberPause));
}

// Lets nodes without requests skip the frequent scans of all replicas, which are expensive in large
// fleets: a scan of 10,000 replicas takes over a millisecond, a tenth of the CPU time that a node
// with 0.12 of a core has between two scans; such a node has no load to report.
bool EdgeDaemon::isUsingReplicas() {
  const std::uint64_t dispatches = context_.counters.dispatches;
  const bool sent = std::exchange(lastDispatchCount_, dispatches) != dispatches;
  return servesClients_ || hasRequestsInFlight_ || sent;
}

void EdgeDaemon::loadLoop() {
  const LoadPeers& peers = loadPeers();
  if (!isUsingReplicas() && clock_() - loadScannedAt_ < kIdleLoadPeriod) {
    timers_->runAfter(kLoadPeriod, [this] { loadLoop(); });
    return;
  }
  loadScannedAt_ = clock_();
  const std::vector<routing::ReplicaPtr> replicas = replicas_.all();
  const bool isIdle =
      std::all_of(replicas.begin(), replicas.end(),
                  [](const routing::ReplicaPtr& replica) { return replica->inFlight == 0; });
  hasRequestsInFlight_ = !isIdle;
  const routing::LoadReports reports = localReports(replicas);
  if (servesClients_ || !isIdle) {
    loadExchange_.send(replicas, peers, reports, clock_());
  }
  if (settings_.uses(Mechanism::LoadDigests)) {
    fleetLoad_.apply(replicas_, {peers.sameRegion.size(), peers.otherRegions.size()}, clock_());
    context_.retryControl.updateFleet(fleetLoad_.reports(),
                                      peers.sameRegion.size() + peers.otherRegions.size());
  }
  updateProgramLimits(reports.services, peers.sameRegion.size() + peers.otherRegions.size());
  updateReplicaSpeeds(replicas);
  updateTenantShares(peers.sameRegion.size() + peers.otherRegions.size());
  updateSpeedSelection();
  updateColdReplicas();
  for (const std::string& dropped : replicas_.removeLapsed(clock_())) {
    log_.logImportant("replica_gone", {{"replica", dropped}, {"by", "doubt"}});
  }
  timers_->runAfter(kLoadPeriod, [this] { loadLoop(); });
}

routing::ColdReplicaSources EdgeDaemon::coldReplicaSources() {
  routing::ColdReplicaSources sources;
  sources.serviceOf = [this](std::string_view name) -> const routing::Service* {
    const auto& configuration = routes_.inForce();
    if (!configuration) {
      return nullptr;
    }
    const auto found = configuration->services.find(name);
    return found == configuration->services.end() ? nullptr : &found->second;
  };
  sources.nodes = [this]() -> const std::vector<std::string>& { return clientNodeAddresses_; };
  sources.members = [this]() -> const std::vector<routing::RingMember>& { return ringMembers_; };
  return sources;
}

void EdgeDaemon::updateColdReplicas() {
  std::size_t lines = 0;
  for (const routing::ColdReplicaChange& change :
       coldReplicas_.updateColdStates(replicas_.all(), clock_())) {
    if (++lines > kMaximumColdLines) {
      continue;  // The gauge still counts it.
    }
    log_.logImportant(change.isCold ? "replica_cold" : "replica_warm",
                      {{"replica", change.id},
                       {"zone", change.zone},
                       {"for_ms", static_cast<std::uint64_t>(toMilliseconds(change.remaining))},
                       {"feeder", std::uint64_t{change.isDesignatedSender ? 1U : 0U}}});
  }
  logColdStateAvailability();
}

// Logged because the rate that a node may send to possibly cold replicas depends on it.
void EdgeDaemon::logColdStateAvailability() {
  const bool isKnown = coldReplicas_.isStateKnown(clock_());
  if (coldReplicas_.limitedReplicas() == 0 || loggedColdKnown_ == isKnown) {
    return;
  }
  loggedColdKnown_ = isKnown;
  log_.logImportant(isKnown ? "cold_states_known" : "cold_states_unknown",
                    {{"members", std::uint64_t{members_.size()}},
                     {"client_takers", std::uint64_t{clientNodeAddresses_.size()}},
                     {"replicas", std::uint64_t{coldReplicas_.limitedReplicas()}}});
}

const LoadPeers& EdgeDaemon::loadPeers() {
  const Instant now = clock_();
  if (now - loadPeersAt_ < kLoadPeersCacheTime) {
    return loadPeers_;
  }
  loadPeersAt_ = now;
  loadPeers_ = {};
  clientNodeAddresses_.clear();
  servesClients_ = false;
  ringMembers_.clear();
  for (const std::string& zone : settings_.zones) {
    const bool isFar = zones_.between(settings_.zone, zone) == routing::Distance::OtherRegion;
    std::vector<std::string>& peers = isFar ? loadPeers_.otherRegions : loadPeers_.sameRegion;
    for (const MemberRecord& member : members_.namedNodesIn(zone)) {
      clientNodeAddresses_.push_back(member.clientAddress);
      if (member.clientAddress == settings_.listen.clients) {
        servesClients_ = true;
      } else if (!member.relayAddress.empty()) {
        // All nodes use the same ports; load digests arrive one port above store calls.
        const std::string& relay = member.relayAddress;
        peers.push_back(relay.substr(0, relay.rfind(':') + 1) +
                        std::to_string(settings_.firstInternalPort + 1));
      }
    }
  }
  if (membersListed_) {
    ringMembers_ = members_.ringMembers();
  } else {
    // With an incomplete list this node could select itself as designated sender or owner of a cold
    // replica, in addition to the nodes that all others agree on.
    clientNodeAddresses_.clear();
  }
  return loadPeers_;
}

}  // namespace gorsetrail::edge
