/// \file The life of a replica: its id and the start of its process. No I/O, no clock.
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

/// When a replica's process started, in Unix milliseconds by the replica's own clock. It tells the
/// lives of one id apart: a later start holds nothing of an earlier one.
using ReplicaStart = StrongId<struct ReplicaStartTag, std::uint64_t>;

/// How the start that an entry tells stands to the one that is known of its id.
enum class LifeOrder : std::uint8_t {
  Same,     ///< Also where one of them is not told: without a start an id has one life.
  Later,    ///< The process has started again.
  Earlier,  ///< The entry was written before the process started again.
};
[[nodiscard]] LifeOrder lifeOrderOf(std::optional<ReplicaStart> known,
                                    std::optional<ReplicaStart> told);

/// How far the clocks of a node and a replica may differ. NTP keeps machines of one network well
/// within this. Where they differ by more, a request that was sent to the new process counts as one
/// of the old: its outcome is unknown, or it runs once more if it may.
inline constexpr Duration kClockTolerance = milliseconds(100);

/// A start that lies further ahead of a node's time of day is an error of its writer: taken at its
/// word, one such entry would make every true one of its id an outdated one. Machines whose clocks
/// are not set differ by seconds a day; more than this is rare.
inline constexpr Duration kLongestClockLead = seconds(60);

/// \param unixMilliseconds the time of day, by this node.
[[nodiscard]] bool isPlausible(ReplicaStart start, std::uint64_t unixMilliseconds);

/// \param unixMilliseconds the time of day at `now`, by this node.
/// \return by this node's clock, from when on requests reached the process that started then.
[[nodiscard]] Instant lifeBeganAt(ReplicaStart start, std::uint64_t unixMilliseconds, Instant now);

/// How a life ended.
struct LifeEnd {
  Instant nextBeganAt;            ///< Requests sent from then on reached the next life.
  std::shared_ptr<Replica> next;  ///< The same id, started again.
};

/// \return the life that a request ran at which was sent at that moment: the replica itself, or a
/// later life where its process had started again without this node knowing.
[[nodiscard]] std::shared_ptr<Replica> lifeAt(std::shared_ptr<Replica> replica, Instant sentAt);

/// Starts of ids that are registered no longer, so that a late entry does not bring an ended life
/// back. The oldest are forgotten.
class DepartedReplicas {
 public:
  /// Requests may still run there.
  struct Departed {
    ReplicaStart startedAt;
    std::weak_ptr<Replica> replica;
  };
  /// Some rolling restarts of a fleet of 300 replicas; about 100 bytes each.
  static constexpr std::size_t kMostDeparted = 1024;

  void remember(const std::string& id, Departed departed);
  void forget(std::string_view id);
  /// \return what is known of the id; null: nothing.
  [[nodiscard]] const Departed* find(std::string_view id) const;
  [[nodiscard]] std::size_t size() const { return byId_.size(); }

 private:
  std::map<std::string, Departed, std::less<>> byId_;
  std::deque<std::string> oldestFirst_;  ///< The ids of `byId_`.
};

}  // namespace gorsetrail::routing
