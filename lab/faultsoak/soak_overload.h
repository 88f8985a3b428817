/// \file Load beyond capacity in a soak: programs beside the usual ones, and the checks of what the
/// tenants get meanwhile and after it.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/faultsoak/burst_watcher.h"
#include "lab/faultsoak/fault_plan.h"
#include "lab/faultsoak/soak_program.h"
#include "lab/faultsoak/soak_replica.h"
#include "lab/faultsoak/tenant_share_watcher.h"

namespace gorsetrail::lab {

/// A tenant of the soak.
struct SoakTenant {
  std::string name;
  /// Configured rate, which is its weight; above what any load of a soak reaches.
  double requestsPerSecond = 0;
};

/// \return all tenants.
const std::vector<SoakTenant>& soakTenants();
/// \return the tenants as a configuration has them.
nlohmann::json tenantDocuments();
/// \return the tenant of a usual program; each has usual programs in proportion to its rate.
const std::string& tenantOfProgram(std::size_t number);

class SoakOverload {
 public:
  /// \param programs usual ones under way at a time. All arguments outlive this object.
  SoakOverload(SoakClients& clients, std::size_t programs);

  /// A load begins. \param load of the kind `HotTenant` or `Burst`.
  void begin(const SoakFault& load);
  void end();
  /// The checks begin: no fault strikes any more. \param replicas those that serve.
  void beginChecks(std::vector<const SoakReplica*> replicas);
  /// The checks end with the one of programs that start after the burst.
  void endChecks();
  /// The soak or a node stood still: what callers waited for then is not checked.
  void onUnrest();
  void onBurstEnd();
  [[nodiscard]] Duration checkedAfter() const { return burst_.checkedAfter(); }
  /// \return turns that were refused for lack of capacity.
  [[nodiscard]] std::uint64_t turnsRefused() const { return turnsRefused_; }
  [[nodiscard]] std::uint64_t programsStarted() const { return programsStarted_; }
  [[nodiscard]] const std::map<std::string, TenantShareWatcher::LateTries>& lateTries() const {
    return sharesUnderOverload_.lateTries();
  }
  [[nodiscard]] bool burstWasChecked() const { return burstWasChecked_; }
  /// \return whether the soak or a node stood still during the checks, which then may have no
  /// cases.
  [[nodiscard]] bool wasDisturbed() const { return wasDisturbed_; }

 private:
  void onStep(SoakStep step, const std::string& program, const std::string& tenant);
  void startPrograms();
  void lookAtLoads();

  SoakClients& clients_;
  double programsPerSecond_;
  TenantShareWatcher shares_;
  /// Judges also turns while a tenant overloads without holding more than its share. Apart, since
  /// its further cases could hide a share of refusals that is too high in `shares_`.
  TenantShareWatcher sharesUnderOverload_;
  BurstWatcher burst_;
  std::vector<std::string> loaded_;  ///< Tenants with a load beyond the usual one.
  double due_ = 0;                   ///< Programs that should have started.
  std::uint64_t programsStarted_ = 0;
  std::uint64_t turnsRefused_ = 0;
  std::vector<const SoakReplica*> replicas_;  ///< Empty: nothing is checked.
  bool isUnrest_ = false;                     ///< Since the end of the burst.
  bool burstWasChecked_ = false;
  bool wasDisturbed_ = false;
};

}  // namespace gorsetrail::lab
