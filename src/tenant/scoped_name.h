/// \file Names of programs and turns, unique across tenants.
#pragma once

#include <string>
#include <string_view>

namespace gorsetrail::tenant {

/// Clients choose the ids of their programs and turns, so ids of different tenants may collide. All
/// state of a program in memory, between nodes and in the store uses the scoped name, so a request
/// that names another tenant's turn gets the same answer as for a turn that does not exist.
///
/// Injective: `LENGTH:TENANT/ID`. Without a tenant, an id without a colon is returned unchanged, to
/// match records stored without tenants, which no tenant can access. An id with a colon becomes
/// `0:/ID`, so that it cannot be taken for another tenant's name. An empty id stays empty.
std::string scopedName(std::string_view tenant, std::string_view id);

}  // namespace gorsetrail::tenant
