/// \file Checks that a tenant below its weighted share is not refused for long while another tenant
/// holds more than its own. Time is told by the caller.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "base/time.h"
#include "lab/faultsoak/promise_watcher.h"

namespace gorsetrail::lab {

struct TenantShareLimits {
  /// Longest time that the turns of one program may be refused. Nodes know a tenant's load 0.3 s
  /// late, and its fraction falls by 0.6 each 0.1 s, to a seventh in 0.4 s (design note 0023); its
  /// started programs drain in 0.4 s, and a caller comes back after 0.2 s, perhaps to a node that
  /// hears it 0.2 s later. A client gives a turn up after 3 s: half of that is left for its answer.
  Duration longestRefusal = milliseconds(1500);
  /// Weight of a new look at the loads, one each 100 ms: counts of some requests vary from look to
  /// look.
  double smoothing = 0.3;
};

class TenantShareWatcher {
 public:
  /// \param violations where a broken promise is told; outlives this object.
  /// \param weights of all tenants by name.
  TenantShareWatcher(PromiseWatcher& violations, std::map<std::string, double> weights,
                     TenantShareLimits limits = {})
      : violations_(violations), weights_(std::move(weights)), limits_(limits) {}

  /// Call it each 100 ms. \param held requests at replicas by tenant, running or waiting.
  /// \param slots of the replicas that serve.
  void onLoads(const std::map<std::string, std::size_t>& held, double slots);
  /// A turn of the program was refused for lack of capacity.
  void onRefused(const std::string& program, const std::string& tenant, Instant now);
  /// A turn of the program ended otherwise, or will not be sent again.
  void onOtherEnd(const std::string& program) { refusals_.erase(program); }
  /// Nobody can tell how long callers were refused: forgets what it saw.
  void forget();

 private:
  struct Refusals {
    std::string tenant;
    Instant since;
  };
  /// \return whether the tenant is below its share while another one is above its own.
  [[nodiscard]] bool isWronged(const std::string& tenant) const;
  [[nodiscard]] double shareOf(const std::string& tenant) const;

  PromiseWatcher& violations_;
  std::map<std::string, double> weights_;
  TenantShareLimits limits_;
  double slots_ = 0;
  std::map<std::string, double> loads_;       ///< Smoothed, by tenant.
  std::map<std::string, Refusals> refusals_;  ///< By program; refused without a turn between.
  std::set<std::string> told_;
};

}  // namespace gorsetrail::lab
