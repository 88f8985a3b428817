#include "tenant/scoped_name.h"

namespace gorsetrail::tenant {

std::string scopedName(std::string_view tenant, std::string_view id) {
  const bool isPlain = tenant.empty() && id.find(':') == std::string_view::npos;
  if (id.empty() || isPlain) {
    return std::string(id);
  }
  std::string name = std::to_string(tenant.size());
  name += ':';
  name += tenant;
  name += '/';
  name += id;
  return name;
}

}  // namespace gorsetrail::tenant
