/// \file Which back ends take no new work, agreed by all nodes without a coordinator.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "membership/membership_interface.h"

namespace gorsetrail::membership {

/// Bound of the table: more back ends than this are not remembered (and not announced).
inline constexpr std::size_t kMaximumRememberedNotices = 1024;

/// \return whether `left` replaces `right`: the higher version; between two announcements of one
/// version `leaving` wins, since sending work to a leaving back end is the worse mistake.
bool supersedes(const BackendNotice& left, const BackendNotice& right);

/// The highest notice of each back end, 12 bytes each.
class BackendNotices {
 public:
  /// Merges a notice heard from a peer.
  /// \return its index when it replaced the notice held (or was the first), else nothing.
  std::optional<std::uint32_t> merge(const BackendNotice& notice);
  /// Makes the next version of a notice unless the one held says the same already.
  std::optional<std::uint32_t> announce(std::uint32_t backendHash, bool leaving);
  [[nodiscard]] const BackendNotice& at(std::uint32_t index) const { return notices_[index]; }
  [[nodiscard]] std::size_t size() const { return notices_.size(); }

 private:
  [[nodiscard]] std::optional<std::uint32_t> find(std::uint32_t backendHash) const;

  std::vector<BackendNotice> notices_;
};

}  // namespace gorsetrail::membership
