/// \file Rate limiting by a fixed share per node, without messages.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include "quota/quota_admission.h"

namespace gorsetrail::quota {

/// Each node enforces its fraction of each limit locally. Never exceeds the limit, but rejects
/// requests within it if a tenant's requests are few or unevenly distributed. Serves as the
/// baseline for the coordinator protocol.
class StaticShares final : public QuotaAdmission {
 public:
  /// \param share returns this node's fraction of each limit, 0 to 1; may change over time.
  StaticShares(std::function<double()> share, std::function<Instant()> clock)
      : share_(std::move(share)), clock_(std::move(clock)) {}

  void admit(const tenant::Tenant& tenant, ProgramStage stage, Callback callback) override;
  void returnToken(const std::string& tenant) override;

 private:
  struct Account {
    double level = 0;
    Instant refilledAt;
  };

  std::function<double()> share_;
  std::function<Instant()> clock_;
  std::unordered_map<std::string, Account> accounts_;
};

}  // namespace gorsetrail::quota
