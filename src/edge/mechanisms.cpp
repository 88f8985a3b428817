#include "edge/mechanisms.h"

#include <algorithm>
#include <array>
#include <utility>

namespace gorsetrail::edge {
namespace {

using NamedMechanism = std::pair<Mechanism, std::string_view>;
constexpr std::array<NamedMechanism, 25> kMechanisms = {
    {{Mechanism::BudgetLeases, "budget_leases"},
     {Mechanism::PromptAffinity, "prompt_affinity"},
     {Mechanism::LoadDigests, "load_digests"},
     {Mechanism::Admission, "admission"},
     {Mechanism::RunawayLimit, "runaway_limit"},
     {Mechanism::FailureCounts, "failure_counts"},
     {Mechanism::ReplicaSuspicion, "replica_suspicion"},
     {Mechanism::SilenceChecks, "silence_checks"},
     {Mechanism::RegistrationDoubt, "registration_doubt"},
     {Mechanism::DirectoryChoice, "directory_choice"},
     {Mechanism::SecondPartitions, "second_partitions"},
     {Mechanism::HedgedStoreCalls, "hedged_store_calls"},
     {Mechanism::PeerProbes, "peer_probes"},
     {Mechanism::TopicGateways, "topic_gateways"},
     {Mechanism::QuotaTokens, "quota_tokens"},
     {Mechanism::ColdFeeders, "cold_feeders"},
     {Mechanism::TurnRetention, "turn_retention"},
     {Mechanism::OverdueLimit, "overdue_limit"},
     {Mechanism::PromptLocality, "prompt_locality"},
     {Mechanism::ProgramAdmission, "program_admission"},
     {Mechanism::TenantShares, "tenant_shares"},
     {Mechanism::ServiceTimes, "service_times"},
     {Mechanism::ReplicaSpeeds, "replica_speeds"},
     {Mechanism::ReturnSchedule, "return_schedule"},
     {Mechanism::RetryBudget, "retry_budget"}}};

Error unknownName(std::string_view name) {
  std::string all;
  for (const NamedMechanism& known : kMechanisms) {
    all += all.empty() ? "" : ", ";
    all += known.second;
  }
  return {ErrorKind::InvalidField, "--without", "unknown mechanism " + std::string(name),
          "valid names: " + all};
}

}  // namespace

std::string_view mechanismName(Mechanism mechanism) {
  const auto found =
      std::find_if(kMechanisms.begin(), kMechanisms.end(),
                   [&](const NamedMechanism& known) { return known.first == mechanism; });
  return found->second;
}

Result<MechanismSet> parseMechanisms(std::string_view names) {
  MechanismSet mechanisms;
  while (!names.empty()) {
    const std::size_t comma = std::min(names.find(','), names.size());
    const std::string_view name = names.substr(0, comma);
    const auto found =
        std::find_if(kMechanisms.begin(), kMechanisms.end(),
                     [&](const NamedMechanism& known) { return known.second == name; });
    if (found == kMechanisms.end()) {
      return unknownName(name);
    }
    mechanisms.insert(found->first);
    names.remove_prefix(std::min(comma + 1, names.size()));
  }
  return mechanisms;
}

}  // namespace gorsetrail::edge
