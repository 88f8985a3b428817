/// \file What quotas need to know of the fleet.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "quota/quota_message.h"
#include "tenant/tenant_directory.h"

namespace gorsetrail::quota {

/// What the service needs to know of the fleet; asked when needed.
class QuotaFleet {
 public:
  virtual ~QuotaFleet() = default;
  /// \return addresses of the nodes that may coordinate a partition, best first; nodes that agree
  /// on the members agree on the first.
  [[nodiscard]] virtual std::vector<std::string> coordinatorsOf(std::uint32_t partition) const = 0;
  /// \return addresses of all members, this one included.
  [[nodiscard]] virtual std::vector<std::string> members() const = 0;
  /// \return this node's part of each limit, 0 to 1; 0 before the members are known.
  [[nodiscard]] virtual double ownShare() const = 0;
  /// \return the tenants in force; null when there are none.
  [[nodiscard]] virtual std::shared_ptr<const tenant::TenantDirectory> tenants() const = 0;
  /// Sends a message; it may be lost. Never calls back into the service.
  virtual void send(const std::string& to, const QuotaMessage& message) = 0;
  /// Another node than before decides for a partition. Never calls back into the service.
  virtual void onCoordinatorChanged(std::uint32_t partition, const std::string& address) = 0;
};

}  // namespace gorsetrail::quota
