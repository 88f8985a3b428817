// The part of `EdgeDaemon` that divides the capacity of services among tenants.
#include "edge/edge_daemon.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "edge/edge_knobs.h"
#include "edge/exchange_shared.h"

namespace gorsetrail::edge {
namespace {

/// Most tenants in one load digest. A node rarely has requests of more tenants in flight; 16
/// entries take 192 bytes, so that the digest still fits into one datagram.
constexpr std::size_t kMaximumReportedTenants = 16;

}  // namespace

std::vector<routing::TenantLoad> EdgeDaemon::ownTenantLoads() {
  return sharesByTenant() ? tenantShares_.ownLoads().largest(kMaximumReportedTenants)
                          : std::vector<routing::TenantLoad>();
}

void EdgeDaemon::updateTenantShares(std::size_t otherNodes) {
  const auto& configuration = routes_.inForce();
  if (!sharesByTenant() || !configuration) {
    return;
  }
  routing::TenantSharesInput input{{}, configuration->tenants, fleetLoad_.reports(), otherNodes};
  const auto& programs = context_.programAdmission;
  const double fixedLimit = admissionKnobsOf(settings_).firstTurn;
  for (const auto& [name, service] : configuration->services) {
    if (service.engine) {
      const routing::ServiceLoad load = routing::serviceLoadOf(replicas_, name, &evacuations_);
      const double limit = programs ? std::min(programs->limitOf(name), fixedLimit) : fixedLimit;
      input.services.push_back({name, load.requests, load.slots, limit});
    }
  }
  tenantShares_.update(input);
  logTenantShares();
}

void EdgeDaemon::logTenantShares() {
  const auto previous = std::exchange(loggedScarceServices_, {});
  for (const routing::ServiceScarcity& service : tenantShares_.services()) {
    if (service.isScarce) {
      loggedScarceServices_.insert(service.service);
    }
    if (service.isScarce == previous.contains(service.service)) {
      continue;
    }
    log_.logImportant(service.isScarce ? "capacity_scarce" : "capacity_sufficient",
                      {{"service", service.service},
                       {"load", tenthsOf(service.load)},
                       {"capacity", tenthsOf(service.capacity)}});
  }
  for (const routing::TenantShareChange& change :
       tenantShareChanges_.next(tenantShares_.limitedTenants(), clock_())) {
    const routing::TenantShare& use = change.use;
    log_.logImportant(change.isLimited ? "tenant_limited" : "tenant_unlimited",
                      {{"tenant", change.tenant},
                       {"service", change.service},
                       {"load", tenthsOf(use.load)},
                       {"share", shareTextOf(use)}});
  }
}

void EdgeDaemon::addTenantShareMetrics(EdgeSnapshot& values) const {
  values.tenantShareRefusals = context_.counters.tenantShareRefusals;
  values.tenantsAboveShare = tenantShares_.limitedTenants().size();
  for (const routing::ServiceScarcity& service : tenantShares_.services()) {
    values.serviceCapacities.push_back({service.service, service.isScarce});
  }
}

}  // namespace gorsetrail::edge
