/// \file Names of programs and turns that no other tenant can name.
#pragma once

#include <string>
#include <string_view>

namespace gorsetrail::tenant {

/// Clients choose the ids of their programs and turns, so two tenants may choose the same. Whatever
/// is kept of a program in memory, between nodes or in the store goes by the scoped name: a caller
/// that names another tenant's turn finds nothing, exactly as if there were no such turn.
///
/// Injective: `LENGTH:TENANT/ID`. Without a tenant an id without a colon stands for itself, as in
/// records written before there were tenants; they belong to nobody who has a key. An id with a
/// colon becomes `0:/ID`, so that it cannot pass for another tenant's. An empty id stays empty.
std::string scopedName(std::string_view tenant, std::string_view id);

}  // namespace gorsetrail::tenant
