#include "membership/backend_notices.h"

#include <limits>

namespace gorsetrail::membership {

bool supersedes(const BackendNotice& left, const BackendNotice& right) {
  if (left.version != right.version) {
    return left.version > right.version;
  }
  return left.leaving && !right.leaving;
}

std::optional<std::uint32_t> BackendNotices::find(std::uint32_t backendHash) const {
  for (std::uint32_t index = 0; index < notices_.size(); ++index) {
    if (notices_[index].backendHash == backendHash) {
      return index;
    }
  }
  return std::nullopt;
}

std::optional<std::uint32_t> BackendNotices::merge(const BackendNotice& notice) {
  const std::optional<std::uint32_t> held = find(notice.backendHash);
  if (held) {
    if (!supersedes(notice, notices_[*held])) {
      return std::nullopt;
    }
    notices_[*held] = notice;
    return held;
  }
  if (notices_.size() >= kMaximumRememberedNotices) {
    return std::nullopt;
  }
  notices_.push_back(notice);
  return static_cast<std::uint32_t>(notices_.size() - 1);
}

std::optional<std::uint32_t> BackendNotices::announce(std::uint32_t backendHash, bool leaving) {
  const std::optional<std::uint32_t> held = find(backendHash);
  // Many nodes may observe the same rejection; the version changes only with the state.
  if (held && notices_[*held].leaving == leaving) {
    return std::nullopt;
  }
  if (!held && !leaving) {
    return std::nullopt;  // A back end without a notice is available.
  }
  const std::uint32_t version = held ? notices_[*held].version : 0;
  if (version == std::numeric_limits<std::uint32_t>::max()) {
    return std::nullopt;
  }
  return merge({backendHash, leaving, version + 1});
}

}  // namespace gorsetrail::membership
