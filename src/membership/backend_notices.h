/// \file Replicated set of draining back ends, merged by version without a coordinator.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "membership/membership_interface.h"

namespace gorsetrail::membership {

/// Notices about further back ends are neither stored nor announced.
inline constexpr std::size_t kMaximumRememberedNotices = 1024;

/// \return whether `left` replaces `right`: the higher version wins. Between notices of the same
/// version `leaving` wins, because sending work to a draining back end is the worse error.
bool supersedes(const BackendNotice& left, const BackendNotice& right);

/// Stores the latest notice of each back end; 12 bytes per entry.
class BackendNotices {
 public:
  /// Merges a notice received from a peer.
  /// \return the entry's index if the notice was stored, nothing if it was obsolete or the table is
  /// full.
  std::optional<std::uint32_t> merge(const BackendNotice& notice);
  /// Creates a notice with the next version, unless the stored notice already has this state.
  /// \return the entry's index if a notice was created.
  std::optional<std::uint32_t> announce(std::uint32_t backendHash, bool leaving);
  [[nodiscard]] const BackendNotice& at(std::uint32_t index) const { return notices_[index]; }
  [[nodiscard]] std::size_t size() const { return notices_.size(); }

 private:
  [[nodiscard]] std::optional<std::uint32_t> find(std::uint32_t backendHash) const;

  std::vector<BackendNotice> notices_;
};

}  // namespace gorsetrail::membership
