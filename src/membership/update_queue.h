/// \file Queue of updates to disseminate, those transmitted least often first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace gorsetrail::membership {

enum class UpdatePriority : std::uint8_t {
  FirstContact,  ///< First contact with an incarnation; frequent while a fleet starts.
  Change,        ///< A change that other nodes must act on; sent before every first contact.
};

/// Items are indices of members or notices. An item leaves the queue after a fixed number of
/// transmissions, which bounds the cost of an update.
class UpdateQueue {
 public:
  /// \param transmissions number of times that an item is sent.
  explicit UpdateQueue(std::size_t transmissions) : transmissions_(transmissions) {}

  /// Queues an item, or resets its transmission count if it is queued already. First contacts are
  /// sent a third as often as changes.
  void add(std::uint32_t item, UpdatePriority priority);
  /// \return at most `limit` items, changes first, then those sent least often, then the newest.
  /// Counts one transmission of each.
  std::vector<std::uint32_t> takeNext(std::size_t limit);
  void remove(std::uint32_t item);
  [[nodiscard]] bool empty() const { return pending_.empty(); }

 private:
  struct Pending {
    std::uint32_t item;
    std::uint32_t sequence;
    std::uint16_t sent;
    UpdatePriority priority;
  };
  static bool precedes(const Pending& left, const Pending& right);
  [[nodiscard]] bool isFinished(const Pending& pending) const;
  void dropFinished();

  std::size_t transmissions_;
  std::uint32_t nextSequence_ = 0;
  std::vector<Pending> pending_;
};

}  // namespace gorsetrail::membership
