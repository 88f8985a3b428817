/// \file Stores grants that other nodes made under their budget leases and have not recorded yet,
/// so that they are known after the holder's death. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/time.h"
#include "ledger/facts.h"

namespace gorsetrail::ledger {

/// A reservation that was granted under a lease and is not recorded yet.
struct LeaseGrant {
  BudgetReservation reservation;
  std::uint64_t number = 0;  ///< Rises with each grant of the lease.
};

/// Asks a witness of a lease to store grants.
struct StoreGrantsRequest {
  std::string lease;
  std::string incarnation;  ///< Of the witness. Empty, without grants: asks for its incarnation.
  std::vector<LeaseGrant> grants;
  /// All grants with a lower number are recorded and need not be kept.
  std::uint64_t recordedBelow = 0;
};

/// Asks a witness for all grants that it has stored, and to store no further one of the lease.
struct SealLeaseRequest {
  std::string lease;
  std::string incarnation;  ///< Of the witness.
};

/// Limits of `LeaseWitness`.
struct LeaseWitnessKnobs {
  /// A lease is forgotten so long after it was last used. Longer than any lease counts: it ends 24
  /// s after its last renewal and is cleared 300 s later.
  Duration retention = seconds(600);
  std::size_t maximumLeases = 1024;
  /// Of all grants; one takes the bytes of its ids and about 100 more.
  std::size_t maximumBytes = std::size_t{4} * 1024 * 1024;
};

/// This process as a witness of other nodes' leases. A witness answers for one process only: its
/// next one has lost what was stored, and says so by its incarnation. A lease that was sealed stays
/// sealed, so that its holder, dead or not, finds no majority of witnesses any more.
class LeaseWitness {
 public:
  enum class Outcome : std::uint8_t {
    Stored,
    /// For good: the lease is sealed, another process was asked, or a grant of this number is
    /// another one, so that two leases are called by one id.
    Refused,
    Full,  ///< For now.
  };

  explicit LeaseWitness(std::string incarnation, LeaseWitnessKnobs knobs = {})
      : incarnation_(std::move(incarnation)), knobs_(knobs) {}

  /// Stores all grants of the request or none.
  Outcome store(const StoreGrantsRequest& request, Instant now);
  /// \return the stored grants; `Refused` if another process was asked, `Full` if too many leases
  /// are known.
  std::variant<std::vector<LeaseGrant>, Outcome> seal(const SealLeaseRequest& request, Instant now);
  /// Forgets leases that were not used for the retention. Call it periodically.
  void sweep(Instant now);

  [[nodiscard]] const std::string& incarnation() const { return incarnation_; }
  [[nodiscard]] std::size_t leases() const { return leases_.size(); }
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  struct Entry {
    std::map<std::uint64_t, BudgetReservation> grants;  ///< By number.
    bool isSealed = false;
    Instant lastUsedAt;
  };

  /// \return the entry; null if there is none and no room for one.
  Entry* entryFor(const std::string& lease, Instant now);
  void dropRecorded(Entry& entry, std::uint64_t recordedBelow);
  [[nodiscard]] static bool isOfAnotherLease(const Entry& entry, const LeaseGrant& grant);
  [[nodiscard]] static std::size_t bytesOf(const BudgetReservation& reservation);

  std::string incarnation_;
  LeaseWitnessKnobs knobs_;
  std::unordered_map<std::string, Entry> leases_;
  std::size_t bytes_ = 0;
};

}  // namespace gorsetrail::ledger
