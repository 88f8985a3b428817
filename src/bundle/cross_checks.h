/// \file Checks that JSON Schema cannot express: whether the parts of a bundle fit each other.
/// An empty name means that the schema check has reported the value already; it is passed over.
#pragma once

#include "bundle/bundle.h"
#include "bundle/check_report.h"

namespace gorsetrail::bundle {

/// Versions, operators and the signature threshold.
void checkVersionAndOperators(const Bundle& bundle, CheckReport& report);
/// Names that stand twice in one list.
void checkDuplicateNames(const Bundle& bundle, CheckReport& report);
/// Priorities: unknown names and cycles in `above`.
void checkPriorities(const Bundle& bundle, CheckReport& report);
/// Models, adapters and back ends: unknown models, addresses, models that nothing runs.
void checkModelsAndBackends(const Bundle& bundle, CheckReport& report);
/// Works: references, back ends of the wrong kind or model, work that nothing may serve.
void checkWorks(const Bundle& bundle, CheckReport& report);
/// Tenants: unknown works and budgets that cannot hold.
void checkTenants(const Bundle& bundle, CheckReport& report);

/// \return whether the text is `ip:port` or `[ipv6]:port` that a client can connect to.
bool isUsableAddress(const std::string& address);

}  // namespace gorsetrail::bundle
