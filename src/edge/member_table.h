/// \file The edge nodes that this node knows of, and which of them clients are sent to.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"

namespace gorsetrail::edge {

/// What a node says of itself.
struct MemberRecord {
  std::string nodeName;
  std::string zone;
  std::string clientAddress;  ///< Where clients connect.
  std::string relayAddress;   ///< Where other nodes ask for store calls; empty: nowhere.
  bool leaving = false;
  std::uint64_t beat = 0;  ///< Rises with every record of one life.
  double capacity = 1.0;   ///< Share of a core: how much of shared work it takes.
};

std::string encodeMemberRecord(const MemberRecord& record);
/// Errors: `InvalidFrame`.
Result<MemberRecord> decodeMemberRecord(std::string_view bytes);

/// Knobs of `MemberTable`.
struct MemberTableKnobs {
  Duration heartbeat = seconds(1);  ///< Between two records of a node, in a small fleet.
  /// The whole fleet writes at most this many records a second: heartbeats become rarer with it.
  double recordsPerSecond = 60;
  double silentHeartbeats = 3.3;  ///< Without a record for so many, a node counts as dead.
  std::size_t enoughInZone = 2;   ///< With fewer, other zones' nodes are named too.
  std::size_t maximumAddresses = 64;
};

/// A node is alive while its records keep coming. While nothing can be read, nobody dies: silence
/// of the store is no silence of the nodes.
class MemberTable {
 public:
  explicit MemberTable(MemberTableKnobs knobs) : knobs_(knobs) {}

  /// \return whether the node was not known as serving before, or is no longer.
  bool onRecord(const std::string& key, const MemberRecord& record, Instant now);
  void remove(const std::string& key) { members_.erase(key); }
  /// Records could be read at this moment: who was silent until then counts as dead.
  void onFresh(Instant now) { freshAt_ = now; }

  /// Whether a node was silent to this one a moment ago; asked by its relay address.
  using IsSuspect = std::function<bool(const std::string& relayAddress)>;
  /// \return nodes that serve clients, those of the zone alone when they are enough. Suspects are
  /// named only when nobody else is left: their heartbeats tell of their end seconds later.
  [[nodiscard]] std::vector<std::string> clientAddresses(std::string_view zone,
                                                         const IsSuspect& isSuspect) const;
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
  [[nodiscard]] bool isAlive(const Entry& entry) const;

  MemberTableKnobs knobs_;
  std::map<std::string, Entry> members_;
  Instant freshAt_;
};

}  // namespace gorsetrail::edge
