/// \file Checks that a tenant below its weighted share is not refused for long while another tenant
/// asks for more than its own. Time is told by the caller.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "lab/faultsoak/promise_watcher.h"

namespace gorsetrail::lab {

struct TenantShareLimits {
  /// Longest time for which a tenant, or one of its programs, may be refused. Nodes know a tenant's
  /// load 0.3 s late, and its fraction falls by 0.6 each 0.1 s, to a seventh in 0.4 s (design note
  /// 0023); its started programs end in 0.4 s, and a refused caller comes back after 0.4 s at most.
  /// A client gives a turn up after 3 s: half of that is left.
  Duration longestRefusal = milliseconds(1500);
  /// A tenant is refused when more than this share of its turns is. Clients retry a turn once: of
  /// those that are refused at a fifth of all tries one in 25 is lost.
  double mostRefused = 0.2;
  /// Fewer tries tell no share.
  std::size_t leastTries = 20;
  /// Weight of a new look at the loads, one each 100 ms: counts of some requests vary from look to
  /// look.
  double smoothing = 0.3;
};

class TenantShareWatcher {
 public:
  /// Turns of a tenant that was below its share, while another one asked for more than its own, for
  /// longer than `longestRefusal`.
  struct LateTries {
    std::size_t tries = 0;
    std::size_t refused = 0;
  };

  /// \param violations where a broken promise is told; outlives this object.
  /// \param weights of all tenants by name.
  TenantShareWatcher(PromiseWatcher& violations, std::map<std::string, double> weights,
                     TenantShareLimits limits = {})
      : violations_(violations), weights_(std::move(weights)), limits_(limits) {}

  /// Call it each 100 ms. \param held requests at replicas by tenant, running or waiting.
  /// \param slots of the replicas that serve.
  /// \param overloading tenants that ask for more than their share, whatever they hold of it.
  void onLoads(const std::map<std::string, std::size_t>& held, double slots,
               const std::vector<std::string>& overloading, Instant now);
  /// A turn was answered, or refused for lack of capacity.
  void onTurn(const std::string& program, const std::string& tenant, bool refused, Instant now);
  /// Nobody can tell how long callers were refused: forgets what it saw.
  void forget();
  /// Tells the tenants that were refused for too long, and looks at no turn until the next loads.
  void check();
  [[nodiscard]] const std::map<std::string, LateTries>& lateTries() const { return lateTries_; }

 private:
  void stop();
  /// \return whether the tenant is below its share while another one asks for more than its own.
  [[nodiscard]] bool isWronged(const std::string& tenant) const;
  [[nodiscard]] double shareOf(const std::string& tenant) const;
  [[nodiscard]] bool asksForMoreThanItsShare(const std::string& tenant) const;
  void onRefusedInARow(const std::string& program, const std::string& tenant, Instant now);

  PromiseWatcher& violations_;
  std::map<std::string, double> weights_;
  TenantShareLimits limits_;
  double slots_ = 0;
  std::set<std::string> overloading_;
  std::map<std::string, double> loads_;          ///< Smoothed, by tenant.
  std::map<std::string, Instant> wrongedSince_;  ///< Tenants for which `isWronged` holds.
  std::map<std::string, LateTries> lateTries_;
  /// When the first of its refusals in a row was, by program of a tenant in `wrongedSince_`.
  std::map<std::string, Instant> refusedSince_;
  std::set<std::string> told_;  ///< Programs.
};

}  // namespace gorsetrail::lab
