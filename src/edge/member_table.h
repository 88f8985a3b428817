/// \file The known edge nodes, and which of them the directory names to clients.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "routing/locality.h"
#include "routing/member_ring.h"

namespace gorsetrail::edge {

/// The record that a node announces about itself.
struct MemberRecord {
  std::string nodeName;
  std::string zone;
  std::string clientAddress;  ///< `ip:port` for client requests.
  std::string relayAddress;   ///< `ip:port` for store and ledger calls of other nodes; empty: none.
  bool leaving = false;
  std::uint64_t beat = 0;  ///< Sequence number within one process.
  double capacity = 1.0;   ///< Relative weight when nodes share work.
};

std::string encodeMemberRecord(const MemberRecord& record);
/// Errors: `InvalidFrame`.
Result<MemberRecord> decodeMemberRecord(std::string_view bytes);

/// A client's location, and the regions of the nodes that it may be sent to.
struct ClientLocation {
  std::string_view zone;
  std::string_view region;
  const routing::ZoneTable* zones = nullptr;  ///< Null: there is a single region.
  /// Allowed regions besides the client's own; null: any.
  const routing::RegionSet* allowedRegions = nullptr;

  /// \return the distance between the client and a node of this zone.
  [[nodiscard]] routing::Distance distanceTo(std::string_view nodeZone) const;
  [[nodiscard]] bool allows(std::string_view nodeZone) const;
};

/// Settings of `MemberTable`.
struct MemberTableKnobs {
  Duration heartbeat = seconds(1);  ///< Shortest interval between two records of a node.
  /// Limit for the whole fleet; in large fleets heartbeats become less frequent to stay below it.
  double recordsPerSecond = 60;
  /// A node counts as dead after this many heartbeat intervals without a record.
  double deadAfterHeartbeats = 3.3;
  /// A node without a record for this time is removed, so that it is no longer probed. Far longer
  /// than any store outage that nodes are expected to recover from.
  Duration removeAfter = seconds(600);
  /// If fewer nodes of the client's zone serve, nodes of the region's other zones are named too; if
  /// fewer of the region serve, nodes of all regions.
  std::size_t minimumNearbyNodes = 2;
  /// Minimum number of a zone's nodes named to clients, by descending capacity. Bounds the share of
  /// clients that must reconnect when one node fails: losing one of eight moves an eighth of the
  /// zone's clients.
  std::size_t minimumNamedNodes = 8;
  /// Nodes are added until the named ones have at least this share of the zone's capacity.
  double minimumNamedCapacityShare = 0.4;
  std::size_t maximumAddresses = 64;
};

/// The member list of the store with the liveness of each node. A node is alive while its records
/// keep coming and the failure detector does not suspect it; probes detect a failure sooner,
/// because heartbeats are less frequent in large fleets. Nodes do not expire while the store cannot
/// be read, because then missing records do not show that a node is dead.
class MemberTable {
 public:
  /// Returns whether the failure detector suspects the node with this key.
  using FailsProbes = std::function<bool(const std::string& key)>;

  explicit MemberTable(MemberTableKnobs knobs, FailsProbes failsProbes)
      : knobs_(knobs), failsProbes_(std::move(failsProbes)) {}

  /// Stores the newest record of a node.
  ///
  /// \return whether the node starts or stops to serve with this record.
  bool onRecord(const std::string& key, const MemberRecord& record, Instant now);
  /// Removes a node whose record was deleted from the topic.
  void remove(const std::string& key) { members_.erase(key); }
  /// \return the number of listed nodes, including dead and leaving ones.
  [[nodiscard]] std::size_t size() const { return members_.size(); }
  /// \return the relay addresses of all listed nodes.
  [[nodiscard]] std::vector<std::string> relayAddresses() const;
  /// \return all listed nodes by client address. Nodes that are named to clients of their zone in
  /// normal operation weigh 1; the others weigh little, because clients use them only if the former
  /// are gone.
  [[nodiscard]] std::vector<routing::RingMember> ringMembers() const;
  /// Removes nodes without a record for `removeAfter`.
  /// \return their keys.
  std::vector<std::string> removeExpired();
  /// Called when the member topic has been read up to `now`. The age of each node's last record is
  /// measured at this time.
  void onRecordsRead(Instant now) { lastReadAt_ = now; }

  /// Returns whether recent calls to the node with this relay address failed.
  using IsSuspect = std::function<bool(const std::string& relayAddress)>;
  /// \return client addresses of serving nodes: those of the client's zone, with those of the
  /// region and of other regions added while there are too few. Suspect nodes are returned only if
  /// there is no other, because heartbeats report a failure seconds later. Only the most capable
  /// nodes are returned, because each node that serves clients opens connections to all replicas it
  /// uses, and a weak node is slow when many clients reconnect at once.
  [[nodiscard]] std::vector<std::string> clientAddresses(const ClientLocation& client,
                                                         const IsSuspect& isSuspect) const;
  [[nodiscard]] std::vector<std::string> clientAddresses(std::string_view zone,
                                                         const IsSuspect& isSuspect) const {
    return clientAddresses(ClientLocation{zone, {}}, isSuspect);
  }
  /// \return the nodes named to clients of the zone if none is suspect, by descending capacity.
  [[nodiscard]] std::vector<MemberRecord> namedNodesIn(std::string_view zone) const;
  /// \return the number of the zone's serving nodes.
  [[nodiscard]] std::size_t countServingIn(std::string_view zone) const;
  /// \return the heartbeat interval for the current fleet size.
  [[nodiscard]] Duration heartbeat() const;
  /// \return all live nodes, including leaving ones, ordered by key.
  [[nodiscard]] std::vector<MemberRecord> liveMembers() const;

 private:
  struct Entry {
    MemberRecord record;
    Instant lastRecordAt;
  };
  [[nodiscard]] bool isAlive(const std::string& key, const Entry& entry) const;
  using Members = std::vector<const MemberRecord*>;
  /// \return the serving nodes nearest to the client, with more distant ones added while there are
  /// too few.
  ///
  /// \param suspects return all suspect nodes instead of the others.
  [[nodiscard]] Members nearest(const ClientLocation& client, const IsSuspect& isSuspect,
                                bool suspects) const;
  /// Truncates to the most capable nodes, by descending capacity. Deterministic, so that all nodes
  /// select the same.
  void keepMostCapable(Members& members) const;

  MemberTableKnobs knobs_;
  FailsProbes failsProbes_;
  std::map<std::string, Entry> members_;
  Instant lastReadAt_;
};

}  // namespace gorsetrail::edge
