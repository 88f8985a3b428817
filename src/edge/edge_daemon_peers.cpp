// The part of `EdgeDaemon` that deals with other nodes: announcements, probes, who takes which
// work.
#include <algorithm>
#include <utility>

#include "edge/edge_daemon.h"
#include "edge/edge_daemon_shared.h"
#include "edge/edge_knobs.h"

namespace gorsetrail::edge {
namespace {

/// Between two reads of the replicas' registrations: 250 reads a second at a zone's reader.
constexpr Duration kMinimumReplicaPause = milliseconds(400);
constexpr Duration kReplicaPausePerMember = milliseconds(4);
/// Between two reads of the members: 100 a second at a zone's reader. Probes tell of an end sooner.
constexpr Duration kMemberPausePerMember = milliseconds(10);
/// A node whose state is not announced yet looks again so soon; a fifth of the shortest heartbeat.
constexpr Duration kAnnounceCheckPeriod = milliseconds(200);
constexpr Duration kLoadPeriod = milliseconds(100);
/// A node that sends no requests walks its replicas so often, for those whose doubt or cold time
/// ends.
constexpr Duration kIdleLoadPeriod = seconds(1);
/// Who takes clients changes with a node's end or start; clients learn of it within a second too.
constexpr Duration kLoadPeersCacheTime = milliseconds(500);
/// Otherwise the list is made from all members for each ledger call. Members change their state
/// less often than this.
constexpr Duration kLedgerHomesCacheTime = milliseconds(50);

/// Of one look at all replicas: a zone's return changes a zone's replicas at once.
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
  constexpr std::uint16_t kProbePortOffset = 2;  // After store and ledger calls, and loads.
  auto probes = peerMonitor_.listen(settings_.ip, settings_.firstInternalPort + kProbePortOffset);
  if (!succeeded(probes)) {
    return probes;
  }
  constexpr std::uint16_t kQuotaPortOffset = 3;
  return quotaExchange_.listen(settings_.ip, settings_.firstInternalPort + kQuotaPortOffset);
}

void EdgeDaemon::onPeerState(const std::string& ip, membership::MemberState state) {
  const bool silent =
      state == membership::MemberState::Suspected || state == membership::MemberState::Dead;
  // Every node hears of every silent one: in a fleet of 1,000 that starts, 60 lines a second.
  log_.routine(silent ? "peer_silent" : "peer_answers",
               {{"node", ip}, {"state", membership::memberStateName(state)}});
}

std::string EdgeDaemon::ownLoadAddress() const {
  return settings_.ip + ":" + std::to_string(settings_.firstInternalPort + 1);
}

std::vector<std::string> EdgeDaemon::otherRelays(
    const logstore::PartitionAddress& partition) const {
  // The text of a confined turn goes only through nodes of its region.
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
  // Nobody is known yet. Ports are alike on all machines, so a seed's address tells the relay's.
  for (const std::string& seed : settings_.seeds) {
    std::string relay =
        seed.substr(0, seed.rfind(':') + 1) + std::to_string(settings_.firstInternalPort);
    if (relay != ownRelayAddress()) {
      addresses.push_back(std::move(relay));
    }
  }
  return addresses;
}

const std::vector<ledger::HomeCandidate>& EdgeDaemon::ledgerHomes() {
  const Instant now = clock_();
  if (!membersListed_ || now - ledgerHomesAt_ < kLedgerHomesCacheTime) {
    return ledgerHomes_;
  }
  ledgerHomesAt_ = now;
  ledgerHomes_.clear();
  for (const MemberRecord& member : members_.liveMembers()) {
    if (!member.relayAddress.empty() && !member.leaving) {
      ledgerHomes_.push_back({member.relayAddress, member.zone, member.capacity});
    }
  }
  return ledgerHomes_;
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

std::vector<ledger::HomeCandidate> EdgeDaemon::announcementAggregators() {
  const std::vector<ledger::HomeCandidate>& members = ledgerHomes();
  const bool hasZone = std::any_of(
      members.begin(), members.end(),
      [this](const ledger::HomeCandidate& member) { return member.zone == settings_.zone; });
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

// Before the members are listed nobody is known who would batch announcements, and each node would
// append for itself every second: hundreds of them fill the partition, and the listings that would
// end it wait behind the appends. A node that restarted is listed already; probes show that it
// runs.
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

// All nodes of a zone ask its reader: the pauses grow with the zone, within what the bounds allow.
void EdgeDaemon::updateFollowerPauses() {
  const auto members = static_cast<Duration::rep>(members_.countServingIn(settings_.zone));
  const Duration longest = settings_.bounds.drain / 2;
  replicaFollower_->setPause(
      std::clamp(kReplicaPausePerMember * members, kMinimumReplicaPause, longest));
  memberFollower_->setPause(std::max(kMemberPausePerMember * members, kMinimumMemberPause));
}

// Walking 10,000 replicas takes a millisecond and more, a tenth of what a node with 0.12 of a core
// may use between two turns; a node that sends nothing has no load to tell and none to weigh.
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
  if (servesClients_ || !isIdle) {
    loadExchange_.send(replicas, peers, clock_());
  }
  if (settings_.uses(Mechanism::LoadDigests)) {
    fleetLoad_.apply(replicas_, {peers.sameRegion.size(), peers.otherRegions.size()}, clock_());
  }
  updateColdReplicas();
  for (const std::string& dropped : replicas_.dropDoubtful(clock_())) {
    log_.important("replica_gone", {{"replica", dropped}, {"by", "doubt"}});
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
  for (const routing::ColdReplicaChange& change : coldReplicas_.tend(replicas_.all(), clock_())) {
    if (++lines > kMaximumColdLines) {
      continue;  // The gauge tells how many there are.
    }
    log_.important(change.isCold ? "replica_cold" : "replica_warm",
                   {{"replica", change.id},
                    {"zone", change.zone},
                    {"for_ms", static_cast<std::uint64_t>(toMilliseconds(change.remaining))},
                    {"feeder", std::uint64_t{change.isFeeder ? 1U : 0U}}});
  }
  logColdStateAvailability();
}

// What a node may send to replicas that may be cold depends on it: without this line nobody could
// tell from the logs which nodes knew.
void EdgeDaemon::logColdStateAvailability() {
  const bool isKnown = coldReplicas_.isSure(clock_());
  if (coldReplicas_.limitedReplicas() == 0 || loggedColdKnown_ == isKnown) {
    return;
  }
  loggedColdKnown_ = isKnown;
  log_.important(isKnown ? "cold_states_known" : "cold_states_unknown",
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
        // Ports are alike on all machines: loads arrive one port above store calls.
        const std::string& relay = member.relayAddress;
        peers.push_back(relay.substr(0, relay.rfind(':') + 1) +
                        std::to_string(settings_.firstInternalPort + 1));
      }
    }
  }
  if (membersListed_) {
    ringMembers_ = members_.ringMembers();
  } else {
    // By half a list this node could take itself for a cold replica's feeder, or owner, beside
    // those that all others agree on.
    clientNodeAddresses_.clear();
  }
  return loadPeers_;
}

}  // namespace gorsetrail::edge
