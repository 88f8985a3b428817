#include "bundle/bundle.h"

#include <algorithm>

namespace gorsetrail::bundle {
namespace {

template <class Item>
const Item* findByName(const std::vector<Item>& items, const std::string& name) {
  const auto found = std::find_if(items.begin(), items.end(),
                                  [&name](const Item& item) { return item.name == name; });
  return found == items.end() ? nullptr : &*found;
}

}  // namespace

const Work* Bundle::findWork(const std::string& name) const { return findByName(works, name); }

const Tenant* Bundle::findTenant(const std::string& name) const {
  return findByName(tenants, name);
}

const Backend* Bundle::findBackend(const std::string& name) const {
  return findByName(backends, name);
}

const Priority* Bundle::findPriority(const std::string& name) const {
  return findByName(priorities, name);
}

}  // namespace gorsetrail::bundle
