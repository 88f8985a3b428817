/// \file Incarnations of replicas: an id and the start time of its process. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/time.h"

namespace gorsetrail::routing {

struct Replica;

/// Start of a replica's process, in Unix milliseconds by the replica's clock. Identifies the
/// incarnation of an id; no state carries over to a later incarnation.
using ReplicaStart = StrongId<struct ReplicaStartTag, std::uint64_t>;

/// Order of a reported incarnation relative to the known one of the same id.
enum class IncarnationOrder : std::uint8_t {
  Same,     ///< Also if either start is unknown: an id without a start has one incarnation.
  Later,    ///< The process has restarted.
  Earlier,  ///< The entry was written before the process restarted.
};
[[nodiscard]] IncarnationOrder compareIncarnations(std::optional<ReplicaStart> known,
                                                   std::optional<ReplicaStart> reported);

/// Clock skew between a node and a replica that is tolerated. NTP keeps the machines of one network
/// well within this. With more skew, a request sent to the new process may be attributed to the old
/// one: its outcome is then unknown, or it runs again if the route allows that.
inline constexpr Duration kMaxClockSkew = milliseconds(100);

/// A start further ahead of this node's clock is rejected. If it were accepted, all later entries
/// with a correct start would count as outdated. Clocks that are not synchronized drift by seconds
/// per day, so a larger lead is rare.
inline constexpr Duration kMaxClockLead = seconds(60);

/// \param unixMilliseconds this node's wall-clock time.
/// \return whether the start is at most `kMaxClockLead` ahead of that time.
[[nodiscard]] bool isPlausible(ReplicaStart start, std::uint64_t unixMilliseconds);

/// \param unixMilliseconds this node's wall-clock time at `now`.
/// \return the time by this node's clock from which requests reached the process with that start.
[[nodiscard]] Instant incarnationStartedAt(ReplicaStart start, std::uint64_t unixMilliseconds,
                                           Instant now);

/// End of an incarnation.
struct IncarnationEnd {
  Instant nextBeganAt;            ///< Requests sent from then on reached the next incarnation.
  std::shared_ptr<Replica> next;  ///< The next incarnation of the same id.
};

/// \return the incarnation that received a request sent at `sentAt`: the replica itself, or a later
/// one if the process had restarted before this node learned of it.
[[nodiscard]] std::shared_ptr<Replica> incarnationAt(std::shared_ptr<Replica> replica,
                                                     Instant sentAt);

/// Process starts of ids that are no longer registered, so that a late entry does not restore an
/// ended incarnation. Drops the oldest entries when full.
class DepartedReplicas {
 public:
  /// A deregistered replica; its requests may still be running.
  struct Departed {
    ReplicaStart startedAt;
    std::weak_ptr<Replica> replica;
  };
  /// Covers several rolling restarts of a fleet of 300 replicas, at about 100 bytes per entry.
  static constexpr std::size_t kMaxDeparted = 1024;

  void insert(const std::string& id, Departed entry);
  void remove(std::string_view id);
  /// \return the entry of the id; null if there is none.
  [[nodiscard]] const Departed* find(std::string_view id) const;
  [[nodiscard]] std::size_t size() const { return byId_.size(); }

 private:
  std::map<std::string, Departed, std::less<>> byId_;
  std::deque<std::string> oldestFirst_;  ///< The ids in `byId_`.
};

}  // namespace gorsetrail::routing
