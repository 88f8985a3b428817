/// \file Which items still have to be spread, those sent least often first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace gorsetrail::membership {

/// How soon an item has to be spread.
enum class NewsPriority : std::uint8_t {
  Introduction,  ///< A life met for the first time: a fleet that starts has hundreds of them.
  Change,        ///< Something that others must act on; goes before every introduction.
};

/// Items are dense indices (of a member or of a notice). An item leaves the queue after a fixed
/// number of transmissions, so that the cost of one piece of news is bounded.
class UpdateQueue {
 public:
  /// \param transmissions how often each item is sent.
  explicit UpdateQueue(std::size_t transmissions) : transmissions_(transmissions) {}

  /// Queues an item, or starts its transmissions again when it is queued already. Introductions
  /// are sent a third as often as changes.
  void add(std::uint32_t item, NewsPriority priority);
  /// \return at most `limit` items: changes first, then those sent least often, then newer ones
  /// before older ones; counts one transmission of each.
  std::vector<std::uint32_t> take(std::size_t limit);
  /// Drops an item that need not be spread any more.
  void remove(std::uint32_t item);
  [[nodiscard]] bool empty() const { return pending_.empty(); }

 private:
  struct Pending {
    std::uint32_t item;
    std::uint32_t stamp;
    std::uint16_t sent;
    NewsPriority priority;
  };
  static bool goesBefore(const Pending& left, const Pending& right);
  [[nodiscard]] bool isFinished(const Pending& pending) const;
  void dropFinished();

  std::size_t transmissions_;
  std::uint32_t nextStamp_ = 0;
  std::vector<Pending> pending_;
};

}  // namespace gorsetrail::membership
