/// \file What the quota service requires from the membership and network layers.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "quota/quota_message.h"
#include "tenant/tenant_directory.h"

namespace gorsetrail::quota {

/// Access to members, tenants and the network; queried on each use.
class QuotaFleetView {
 public:
  virtual ~QuotaFleetView() = default;
  /// \return addresses of the candidate coordinators of a partition, best first. Nodes with the
  /// same member list agree on the first.
  [[nodiscard]] virtual std::vector<std::string> candidateCoordinators(
      std::uint32_t partition) const = 0;
  /// \return addresses of all members, including this node.
  [[nodiscard]] virtual std::vector<std::string> members() const = 0;
  /// \return this node's fraction of each limit, 0 to 1; 0 until the members are known.
  [[nodiscard]] virtual double ownShare() const = 0;
  /// \return the active tenants; null if there are none.
  [[nodiscard]] virtual std::shared_ptr<const tenant::TenantDirectory> tenants() const = 0;
  /// Sends a message, which may be lost. Must not call back into the service.
  virtual void send(const std::string& to, const QuotaMessage& message) = 0;
  /// Called when a different node answers as coordinator of a partition. Must not call back into
  /// the service.
  virtual void onCoordinatorChanged(std::uint32_t partition, const std::string& address) = 0;
};

}  // namespace gorsetrail::quota
