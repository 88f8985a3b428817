/// \file Which items still have to be spread, those sent least often first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace gorsetrail::membership {

/// Items are dense indices (of a member or of a notice). An item leaves the queue after a fixed
/// number of transmissions, so that the cost of one piece of news is bounded.
class UpdateQueue {
 public:
  /// \param transmissions how often each item is sent.
  explicit UpdateQueue(std::size_t transmissions) : transmissions_(transmissions) {}

  /// Queues an item, or starts its transmissions again when it is queued already.
  void add(std::uint32_t item);
  /// \return at most `limit` items, those sent least often first and newer ones before older ones;
  /// counts one transmission of each.
  std::vector<std::uint32_t> take(std::size_t limit);
  [[nodiscard]] bool empty() const { return pending_.empty(); }

 private:
  struct Pending {
    std::uint32_t item;
    std::uint32_t stamp;
    std::uint32_t sent;
  };
  void dropFinished();

  std::size_t transmissions_;
  std::uint32_t nextStamp_ = 0;
  std::vector<Pending> pending_;
};

}  // namespace gorsetrail::membership
