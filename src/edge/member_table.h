/// \file The edge nodes that this node knows of, and which of them clients are sent to.
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

/// What a node says of itself.
struct MemberRecord {
  std::string nodeName;
  std::string zone;
  std::string clientAddress;  ///< Where clients connect.
  std::string relayAddress;   ///< Where other nodes ask for store calls; empty: nowhere.
  bool leaving = false;
  std::uint64_t beat = 0;  ///< Rises with every record of one life.
  double capacity = 1.0;   ///< How much of the work that nodes share it takes, against others.
};

std::string encodeMemberRecord(const MemberRecord& record);
/// Errors: `InvalidFrame`.
Result<MemberRecord> decodeMemberRecord(std::string_view bytes);

/// Where a client is, and where the nodes may be that it is sent to.
struct ClientPlace {
  std::string_view zone;
  std::string_view region;
  const routing::ZoneTable* zones = nullptr;  ///< Null: there is one region.
  /// Besides the client's own region; null: anywhere.
  const routing::RegionSet* allowedRegions = nullptr;

  /// \return how far a node of this zone is from the client.
  [[nodiscard]] routing::Distance distanceTo(std::string_view nodeZone) const;
  [[nodiscard]] bool allows(std::string_view nodeZone) const;
};

/// Knobs of `MemberTable`.
struct MemberTableKnobs {
  Duration heartbeat = seconds(1);  ///< Between two records of a node, in a small fleet.
  /// The whole fleet writes at most this many records a second: heartbeats become rarer with it.
  double recordsPerSecond = 60;
  double silentHeartbeats = 3.3;  ///< Without a record for so many, a node counts as dead.
  /// A node without a record for so long is forgotten, so that its address costs nothing more. Far
  /// longer than any outage of the store that nodes are expected to come back from.
  Duration forgetAfter = seconds(600);
  /// With fewer, nodes of the region's other zones are named too; with fewer in the region, all.
  std::size_t enoughInZone = 2;
  /// Clients of a zone are sent to its most capable nodes: to this many at least. Losing one of
  /// eight moves an eighth of the zone's clients, and eight take twenty times the usual rate of the
  /// largest deployment known.
  std::size_t fewestNamed = 8;
  /// And to nodes with this share of the zone's capacity at least, where nodes are alike.
  double namedShareOfCapacity = 0.4;
  std::size_t maximumAddresses = 64;
};

/// The nodes that exist, as the store lists them, and which of them are alive: those whose records
/// keep coming and which answer probes. Records become rarer as the fleet grows, so probes tell of
/// a node's end first. Members do not expire while the store cannot be read, because missing
/// records then say nothing about the nodes.
class MemberTable {
 public:
  /// Whether a node does not answer probes; asked by its key.
  using IsSilent = std::function<bool(const std::string& key)>;

  explicit MemberTable(MemberTableKnobs knobs, IsSilent isSilent)
      : knobs_(knobs), isSilent_(std::move(isSilent)) {}

  /// \return whether the node was not known as serving before, or is no longer.
  bool onRecord(const std::string& key, const MemberRecord& record, Instant now);
  void remove(const std::string& key) { members_.erase(key); }
  /// \return nodes that are listed, silent and leaving ones included.
  [[nodiscard]] std::size_t size() const { return members_.size(); }
  /// \return the relay addresses of all listed nodes.
  [[nodiscard]] std::vector<std::string> relayAddresses() const;
  /// \return all listed nodes by their client addresses. Those that clients of their zone are sent
  /// to while everybody lives weigh 1, the others little: clients choose evenly among the first,
  /// and come to the others where the first are gone.
  [[nodiscard]] std::vector<routing::RingMember> ringMembers() const;
  /// Forgets nodes that were silent for `forgetAfter`. \return their keys.
  std::vector<std::string> dropForgotten();
  /// Records could be read at this moment: who was silent until then counts as dead.
  void onFresh(Instant now) { freshAt_ = now; }

  /// Whether a node was silent to this one a moment ago; asked by its relay address.
  using IsSuspect = std::function<bool(const std::string& relayAddress)>;
  /// \return nodes that serve clients, those of the zone alone when they are enough, then those of
  /// the region. Suspects are named only when nobody else is left: their heartbeats tell of their
  /// end seconds later.
  /// Of a large zone only the most capable are named: each node that takes clients opens
  /// connections to all replicas it uses, and a weak one is slow when many come back at once.
  [[nodiscard]] std::vector<std::string> clientAddresses(const ClientPlace& client,
                                                         const IsSuspect& isSuspect) const;
  [[nodiscard]] std::vector<std::string> clientAddresses(std::string_view zone,
                                                         const IsSuspect& isSuspect) const {
    return clientAddresses(ClientPlace{zone, {}}, isSuspect);
  }
  /// \return the nodes that clients of the zone are sent to when nobody is suspect, best first.
  [[nodiscard]] std::vector<MemberRecord> servingIn(std::string_view zone) const;
  /// \return serving nodes of a zone.
  [[nodiscard]] std::size_t countIn(std::string_view zone) const;
  /// \return the time between two records of a node in a fleet of this size.
  [[nodiscard]] Duration heartbeat() const;
  /// \return every node alive or leaving, by key.
  [[nodiscard]] std::vector<MemberRecord> alive() const;

 private:
  struct Entry {
    MemberRecord record;
    Instant heardAt;
  };
  [[nodiscard]] bool isAlive(const std::string& key, const Entry& entry) const;
  using Members = std::vector<const MemberRecord*>;
  /// \return the serving nodes that are nearest to the client, and further ones while they are few;
  /// of suspects all.
  [[nodiscard]] Members nearest(const ClientPlace& client, const IsSuspect& isSuspect,
                                bool suspects) const;
  /// Keeps the most capable ones, best first; all nodes choose the same.
  void keepMostCapable(Members& members) const;

  MemberTableKnobs knobs_;
  IsSilent isSilent_;
  std::map<std::string, Entry> members_;
  Instant freshAt_;
};

}  // namespace gorsetrail::edge
