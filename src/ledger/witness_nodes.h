/// \file Access to the nodes that may be witnesses of this node's leases.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "ledger/ledger_message.h"

namespace gorsetrail::ledger {

/// Selects and calls witnesses, see `LeaseWitness`.
class WitnessNodes {
 public:
  virtual ~WitnessNodes() = default;
  /// \return addresses of other nodes in the order in which they should be witnesses of the lease.
  [[nodiscard]] virtual std::vector<std::string> preferredFor(const std::string& lease) const = 0;
  /// Calls back once, never synchronously; without a value if no reply came.
  virtual void call(const std::string& address, const LedgerRequest& request, Duration timeLimit,
                    std::function<void(std::optional<LedgerReply>)> callback) = 0;
};

/// \return how many of the witnesses must store a grant before it is used.
[[nodiscard]] constexpr std::size_t witnessMajority(std::size_t witnesses) {
  return witnesses / 2 + 1;
}
/// \return how many witnesses must be sealed, so that every majority contains a sealed one.
[[nodiscard]] constexpr std::size_t witnessSealQuorum(std::size_t witnesses) {
  return witnesses - witnessMajority(witnesses) + 1;
}

}  // namespace gorsetrail::ledger
