/// \file Quotas as equal shares of all nodes, without messages.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include "quota/quota_admission.h"

namespace gorsetrail::quota {

/// Each node lets through its share of each limit. Safe without any message; it refuses wrongly
/// where a tenant's requests are few or uneven over the nodes. Kept to measure leases against.
class StaticShares final : public QuotaAdmission {
 public:
  /// \param share this node's part of each limit, 0 to 1; it may change.
  StaticShares(std::function<double()> share, std::function<Instant()> clock)
      : share_(std::move(share)), clock_(std::move(clock)) {}

  void admit(const tenant::Tenant& tenant, ProgramStage stage, Callback callback) override;
  void giveBack(const std::string& tenant) override;

 private:
  struct Account {
    double level = 0;
    Instant reckonedAt;
  };

  std::function<double()> share_;
  std::function<Instant()> clock_;
  std::unordered_map<std::string, Account> accounts_;
};

}  // namespace gorsetrail::quota
