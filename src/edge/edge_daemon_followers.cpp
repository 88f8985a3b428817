// The part of `EdgeDaemon` that follows the store's topics: configuration, replicas, members.
#include <array>
#include <bit>
#include <string_view>

#include "base/text_check.h"
#include "edge/edge_daemon.h"
#include "edge/edge_daemon_shared.h"
#include "routing/region_policy.h"

namespace gorsetrail::edge {
namespace {

/// Pause between two reads of the configuration. A read through the zone's reader may add the same
/// again.
constexpr Duration kConfigurationPause = milliseconds(200);
/// Failed reads within this time after the start are attributed to the start of the fleet. When 985
/// nodes started at once, a node had its first answers within 3.5 s.
constexpr Duration kStartupTime = milliseconds(4000);
/// Registrations that disappear within this time after a store outage are attributed to the outage.
constexpr Duration kOutageRecoveryTime = milliseconds(2000);

}  // namespace

void EdgeDaemon::followConfiguration() {
  logstore::KeyedTopicFollowerKnobs knobs;
  knobs.pause = kConfigurationPause;
  logstore::KeyedTopicObserver observer;
  observer.onRecord = [this](const std::string& key, const std::string& value) {
    onOperatorRecord(key, value);
  };
  observer.onListed = [this](const std::vector<std::string>& keys) {
    onOperatorRecordsListed(keys);
  };
  observer.onFresh = [this](Instant askedAt) {
    context_.storeReadTimes.configurationReadAt = askedAt;
    coldReplicas_.onEvacuationsFresh(askedAt);
    onTopicFresh("configuration");
  };
  observer.onReadFailed = [this](const logstore::StoreError& error) {
    onTopicStale("configuration", error);
  };
  configurationFollower_ = std::make_shared<logstore::KeyedTopicFollower>(
      sharedTopics_, *timers_, clock_, configurationPartition(), knobs, observer,
      &configurationCopy_, seed_);
  configurationFollower_->start();
}

void EdgeDaemon::onOperatorRecord(const std::string& key, const std::string& value) {
  if (key == dependencies_.documents.configurationKey()) {
    onConfigurationRecord(value);
  } else if (const auto zone = dependencies_.documents.evacuatedZoneOf(key)) {
    onEvacuationRecord(*zone, value);
  } else if (value.empty()) {
    unreadableRecords_.onReadable(RecordKind::Operator, key);
  } else {
    reportUnreadableRecord(RecordKind::Operator, key,
                           {ErrorKind::InvalidField, "key",
                            "expected the configuration key or the key of a zone evacuation",
                            "remove the record, or correct the zone name in its key"});
  }
}

void EdgeDaemon::reportUnreadableRecord(RecordKind kind, const std::string& key,
                                        const Error& error) {
  static constexpr std::array<std::string_view, kRecordKinds> kEvents = {
      "replica_unreadable", "member_unreadable", "configuration_unreadable",
      "operator_record_unreadable"};
  if (unreadableRecords_.onUnreadable(kind, key, clock_())) {
    log_.logImportant(kEvents[static_cast<std::size_t>(kind)],
                      {{"key", isName(key) ? key : "(no name)"}, {"error", error.toText()}});
  }
}

void EdgeDaemon::onEvacuationRecord(const std::string& zone, const std::string& value) {
  if (value.empty()) {
    if (evacuations_.onTakenBack(zone)) {
      onEvacuationEnded(zone, "record");
    }
  } else if (evacuations_.onEvacuated(zone, clock_())) {
    log_.logImportant("zone_evacuated", {{"zone", zone}});
  }
}

void EdgeDaemon::onOperatorRecordsListed(const std::vector<std::string>& keys) {
  unreadableRecords_.onListed(RecordKind::Operator, keys);
  std::vector<std::string> zones;
  for (const std::string& key : keys) {
    if (auto zone = dependencies_.documents.evacuatedZoneOf(key)) {
      zones.push_back(std::move(*zone));
    }
  }
  coldReplicas_.onEvacuationsListed(clock_());
  for (const std::string& zone : evacuations_.onListed(zones)) {
    onEvacuationEnded(zone, "listing");
  }
}

void EdgeDaemon::onEvacuationEnded(const std::string& zone, std::string_view source) {
  coldReplicas_.onZoneReturned(zone, clock_());
  log_.logImportant("evacuation_taken_back", {{"zone", zone}, {"by", source}});
}

void EdgeDaemon::onConfigurationRecord(const std::string& value) {
  if (value.empty()) {
    return;
  }
  auto read = dependencies_.documents.readConfiguration(value);
  const std::string key = dependencies_.documents.configurationKey();
  if (!succeeded(read)) {
    // The previous configuration stays in force. Every invalid version is logged, because operators
    // correct one fault after the other.
    unreadableRecords_.onReadable(RecordKind::Configuration, key);
    reportUnreadableRecord(RecordKind::Configuration, key, errorOf(read));
    return;
  }
  refusedConfiguration_.clear();
  auto regions = routing::RegionPolicy::make(valueOf(read), zones_, settings_.zone);
  if (!succeeded(regions)) {
    refusedConfiguration_ = value;
    // The previous configuration stays in force: applying only a part of this one could route
    // requests to forbidden regions.
    log_.logImportant("configuration_refused", {{"version", valueOf(read).version.value()},
                                                {"error", errorOf(regions).toText()}});
    return;
  }
  valueOf(read).regions =
      std::make_shared<const routing::RegionPolicy>(std::move(valueOf(regions)));
  auto configuration = std::make_shared<const routing::Configuration>(std::move(valueOf(read)));
  const std::uint64_t version = configuration->version.value();
  const std::uint64_t routes = configuration->routes.size();
  const routing::ClientLimits limits = configuration->limits;
  const bool newer = routes_.apply(std::move(configuration));
  if (newer) {
    applyClientLimits(limits);
  }
  updateColdReplicas();  // The configuration may lower the rate of replicas that are already
                         // listed.
  log_.logImportant(newer ? "configuration_in_force" : "configuration_not_newer",
                    {{"version", version}, {"routes", routes}});
}

void EdgeDaemon::onZonesChanged() {
  zones_ = routing::ZoneTable(settings_.regionOfZone);
  ledger_.setZones(settings_.zones, settings_.regionOfZone);
  // The follower delivers each record once. Without this retry, an operator who adds a region after
  // its first use would have to publish a new version.
  if (!refusedConfiguration_.empty()) {
    onConfigurationRecord(std::string(refusedConfiguration_));
  }
}

void EdgeDaemon::followReplicas() {
  logstore::KeyedTopicObserver observer;
  observer.onRecord = [this](const std::string& key, const std::string& value) {
    onReplicaRecord(key, value);
  };
  observer.onListed = [this](const std::vector<std::string>& keys) {
    unreadableRecords_.onListed(RecordKind::Replica, keys);
    for (const std::string& missing : replicas_.missingFrom(keys)) {
      onRegistrationLost(missing, "listing");
    }
    replicasListed_ = true;
    log_.logImportant("replicas_listed", {{"count", std::uint64_t{keys.size()}}});
  };
  observer.onFresh = [this](Instant askedAt) {
    context_.storeReadTimes.replicasReadAt = askedAt;
    versionHistory_.onFresh(askedAt);
    coldReplicas_.onFresh(askedAt);
    onTopicFresh("replicas");
  };
  observer.onReadFailed = [this](const logstore::StoreError& error) {
    onTopicStale("replicas", error);
  };
  replicaFollower_ = std::make_shared<logstore::KeyedTopicFollower>(
      sharedTopics_, *timers_, clock_, replicaPartition(), logstore::KeyedTopicFollowerKnobs{},
      observer, &replicaCopy_, seed_);
  replicaFollower_->start();
}

routing::RegistrationView EdgeDaemon::registrations() const {
  return routing::registrationViewOf(
      replicas_,
      replicasListed_ ? std::optional(context_.storeReadTimes.replicasReadAt) : std::nullopt);
}

void EdgeDaemon::noteSoftwareVersion(const std::string& id) {
  if (const routing::ReplicaPtr replica = replicas_.find(id)) {
    versionHistory_.onSeen(replica->entry, clock_());
  }
}

bool EdgeDaemon::isOrWasStoreUnavailable() const {
  const bool justRegained =
      storeRecoveredAt_ && clock_() - *storeRecoveredAt_ < kOutageRecoveryTime;
  return settings_.uses(Mechanism::RegistrationDoubt) &&
         (!unavailableTopics_.empty() || justRegained);
}

void EdgeDaemon::onRegistrationLost(const std::string& id, std::string_view source) {
  noteSoftwareVersion(id);
  // During a store outage replicas could not renew their registrations, so an expired one does not
  // show that the replica is gone.
  const routing::ReplicaChange change =
      isOrWasStoreUnavailable() ? replicas_.markLapsed(id, clock_() + settings_.bounds.drain)
                                : replicas_.remove(id);
  if (change != routing::ReplicaChange::None) {
    const bool hasLapsed = change == routing::ReplicaChange::Lapsed;
    log_.logImportant(hasLapsed ? "replica_doubted" : "replica_gone",
                      {{"replica", id}, {"by", source}});
  }
}

void EdgeDaemon::onReplicaRecord(const std::string& id, const std::string& value) {
  if (value.empty()) {
    unreadableRecords_.onReadable(RecordKind::Replica, id);
    onRegistrationLost(id, "record");
    return;
  }
  auto read = dependencies_.documents.readReplicaEntry(id, value);
  if (!succeeded(read)) {
    onReplicaUnreadable(id, errorOf(read));
    return;
  }
  unreadableRecords_.onReadable(RecordKind::Replica, id);
  routing::ReplicaEntry& entry = valueOf(read);
  clearImplausibleStart(entry);
  const routing::ReplicaPtr before = replicas_.find(id);
  const bool wasStartUntold = before && before->startUntold;
  noteSoftwareVersion(id);  // The process before, if this registration is of the next one.
  const routing::ReplicaChange change = replicas_.upsert(entry, startTimeOf(entry));
  if (change == routing::ReplicaChange::Outdated) {
    onOutdatedRegistration(entry);
    return;
  }
  const routing::ReplicaPtr replica = replicas_.find(id);
  if (change == routing::ReplicaChange::Restarted) {
    onReplicaRestarted(before, *replica);
  }
  const bool isNew = replicasListed_ && replica != before;
  coldReplicas_.onRegistration(*replica, isNew, clock_());
  if (replica->startUntold && !wasStartUntold) {
    log_.logImportant("replica_start_untold", {{"replica", id}, {"address", entry.address}});
  }
  if (change != routing::ReplicaChange::None && replicasListed_) {
    logReplicaChange(entry);
  }
}

// Releases and fleet starts change many replicas at once, and every node would log each. Draining
// replicas are always logged.
void EdgeDaemon::logReplicaChange(const routing::ReplicaEntry& entry) {
  const std::initializer_list<LogField> fields = {{"replica", entry.id},
                                                  {"service", entry.service},
                                                  {"address", entry.address},
                                                  {"state", entry.draining ? "draining" : "ready"}};
  if (entry.draining) {
    log_.logImportant("replica_changed", fields);
  } else {
    log_.logRoutine("replica_changed", fields);
  }
}

void EdgeDaemon::clearImplausibleStart(routing::ReplicaEntry& entry) {
  if (!entry.startedAt || routing::isPlausible(*entry.startedAt, unixTimeMilliseconds())) {
    return;
  }
  // The record is repeated with every heartbeat: only counts that are powers of two are logged.
  if (std::has_single_bit(++implausibleStarts_)) {
    log_.logImportant("replica_start_implausible", {{"replica", entry.id},
                                                    {"started_unix_ms", entry.startedAt->value()},
                                                    {"address", entry.address},
                                                    {"count", implausibleStarts_}});
  }
  entry.startedAt.reset();
}

Instant EdgeDaemon::startTimeOf(const routing::ReplicaEntry& entry) const {
  return entry.startedAt
             ? routing::incarnationStartedAt(*entry.startedAt, unixTimeMilliseconds(), clock_())
             : Instant::max();
}

void EdgeDaemon::onReplicaRestarted(const routing::ReplicaPtr& before,
                                    const routing::Replica& replica) {
  const std::string& id = replica.entry.id;
  coldReplicas_.onLifeEnded(id);
  dependencies_.client.closeIdleConnections(replica.entry.address);
  if (before) {
    dependencies_.client.closeIdleConnections(before->entry.address);
  }
  log_.logImportant(
      "replica_restarted",
      {{"replica", id},
       {"started_unix_ms", replica.entry.startedAt ? replica.entry.startedAt->value() : 0},
       {"address", replica.entry.address},
       {"zone", replica.entry.zone},
       {"software_version", replica.entry.softwareVersion},
       {"in_flight", std::uint64_t{before ? before->inFlight : 0}}});
}

void EdgeDaemon::onOutdatedRegistration(const routing::ReplicaEntry& entry) {
  const std::uint64_t count = replicas_.outdatedEntries();
  // Two processes with the same id cause this with every heartbeat: only counts that are powers of
  // two are logged.
  if (std::has_single_bit(count)) {
    log_.logImportant("replica_entry_outdated", {{"replica", entry.id},
                                                 {"started_unix_ms", entry.startedAt->value()},
                                                 {"address", entry.address},
                                                 {"count", count}});
  }
}

void EdgeDaemon::onReplicaUnreadable(const std::string& id, const Error& error) {
  reportUnreadableRecord(RecordKind::Replica, id, error);
  // The replica is removed rather than kept as a lapsed registration. A registration lapses when
  // the replica cannot renew it, and the replica is probably alive. Here a new record was written,
  // and the process at the previous address is unknown: requests sent there could run at another
  // replica. Requests in flight continue.
  noteSoftwareVersion(id);
  if (replicas_.remove(id) != routing::ReplicaChange::None) {
    log_.logImportant("replica_gone", {{"replica", id}, {"by", "unreadable"}});
  }
}

void EdgeDaemon::onMemberRecord(const std::string& key, const std::string& value) {
  const auto record = decodeMemberRecord(value);
  if (!succeeded(record)) {
    if (value.empty()) {
      unreadableRecords_.onReadable(RecordKind::Member, key);
    } else {
      reportUnreadableRecord(RecordKind::Member, key, errorOf(record));
    }
    members_.remove(key);
    peerMonitor_.forget(key);
    return;
  }
  unreadableRecords_.onReadable(RecordKind::Member, key);
  peerMonitor_.watch(key);
  // A starting node sees all members at once; `onListed` logs them in one line.
  if (members_.onRecord(key, valueOf(record), clock_()) && membersListed_) {
    log_.logRoutine("member_changed", {{"node", valueOf(record).nodeName},
                                       {"state", valueOf(record).leaving ? "leaving" : "serving"}});
  }
}

void EdgeDaemon::followMembers() {
  logstore::KeyedTopicFollowerKnobs knobs;
  knobs.pause = kMinimumMemberPause;
  logstore::KeyedTopicObserver observer;
  observer.onRecord = [this](const std::string& key, const std::string& value) {
    onMemberRecord(key, value);
  };
  observer.onListed = [this](const std::vector<std::string>& keys) {
    membersListed_ = true;
    unreadableRecords_.onListed(RecordKind::Member, keys);
    log_.logImportant("members_listed", {{"count", std::uint64_t{keys.size()}}});
    if (!context_.stop) {
      ledger_.maintainLeases();  // Immediately, because the store may become unavailable before the
                                 // next run of `leaseLoop`.
    }
  };
  observer.onFresh = [this](Instant askedAt) {
    members_.onRecordsRead(askedAt);
    onTopicFresh("members");
  };
  observer.onReadFailed = [this](const logstore::StoreError& error) {
    onTopicStale("members", error);
  };
  memberFollower_ = std::make_shared<logstore::KeyedTopicFollower>(
      sharedTopics_, *timers_, clock_, logstore::PartitionAddress{kMemberTopic, 0}, knobs, observer,
      &memberCopy_, seed_);
  memberFollower_->start();
}

void EdgeDaemon::onTopicFresh(std::string_view topic) {
  everReadTopics_.emplace(topic);
  const auto lost = unavailableTopics_.find(topic);
  if (lost == unavailableTopics_.end()) {
    return;
  }
  unavailableTopics_.erase(lost);
  storeRecoveredAt_ = clock_();
  log_.logImportant("store_regained", {{"topic", topic}, {"address", settings_.store.address}});
}

// A starting node gets no answer until its zone's reader has listed the topics. This does not count
// as a store outage, during which lapsed registrations would be kept.
bool EdgeDaemon::isStarting(std::string_view topic) const {
  return !everReadTopics_.contains(topic) && clock_() - startedAt_ < kStartupTime;
}

void EdgeDaemon::onTopicStale(std::string_view topic, const logstore::StoreError& error) {
  if (isStarting(topic)) {
    return;
  }
  if (!unavailableTopics_.emplace(topic).second) {
    return;
  }
  const Instant now = clock_();
  log_.logImportant(
      "store_lost",
      {{"topic", topic},
       {"fault", logstore::storeFaultName(error.fault)},
       {"reason", error.reason},
       {"configuration_age_ms", ageMilliseconds(now, context_.storeReadTimes.configurationReadAt)},
       {"replicas_age_ms", ageMilliseconds(now, context_.storeReadTimes.replicasReadAt)}});
}

}  // namespace gorsetrail::edge
