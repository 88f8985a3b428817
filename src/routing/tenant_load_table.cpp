#include "routing/tenant_load_table.h"

#include <algorithm>

namespace gorsetrail::routing {

void TenantLoadTable::beginRequest(std::string_view service, std::string_view tenant) {
  ++inFlight_[{nameHashOf(service), nameHashOf(tenant)}];
}

void TenantLoadTable::endRequest(std::string_view service, std::string_view tenant) {
  const auto found = inFlight_.find({nameHashOf(service), nameHashOf(tenant)});
  if (--found->second == 0) {
    inFlight_.erase(found);
  }
}

std::uint32_t TenantLoadTable::inFlight(Key key) const {
  const auto found = inFlight_.find(key);
  return found == inFlight_.end() ? 0 : found->second;
}

std::vector<TenantLoad> TenantLoadTable::largest(std::size_t limit) const {
  std::vector<TenantLoad> loads;
  loads.reserve(inFlight_.size());
  for (const auto& [key, count] : inFlight_) {
    const auto reported = static_cast<std::uint16_t>(std::min<std::uint32_t>(count, UINT16_MAX));
    loads.push_back({key.first, key.second, reported});
  }
  const std::size_t kept = std::min(limit, loads.size());
  std::partial_sort(loads.begin(), loads.begin() + static_cast<std::ptrdiff_t>(kept), loads.end(),
                    [](const TenantLoad& left, const TenantLoad& right) {
                      return left.inFlight > right.inFlight;
                    });
  loads.resize(kept);
  return loads;
}

}  // namespace gorsetrail::routing
