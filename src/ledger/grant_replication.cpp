#include "ledger/grant_replication.h"

#include <algorithm>
#include <map>
#include <utility>

namespace gorsetrail::ledger {

GrantReplication::GrantReplication(WitnessNodes& nodes, std::string lease,
                                   std::vector<WitnessProcess> witnesses, Duration timeLimit)
    : nodes_(nodes),
      lease_(std::move(lease)),
      witnesses_(std::move(witnesses)),
      states_(witnesses_.size()),
      timeLimit_(timeLimit) {}

std::uint64_t GrantReplication::replicate(const BudgetReservation& reservation, Callback callback) {
  const std::uint64_t number = nextNumber_++;
  unrecorded_.insert(number);
  pending_[number].callback = std::move(callback);
  for (std::size_t index = 0; index < states_.size(); ++index) {
    states_[index].queue.push_back({reservation, number});
    callNext(index);
  }
  return number;
}

void GrantReplication::check() {
  for (std::size_t index = 0; index < states_.size(); ++index) {
    if (!states_[index].isCalled) {
      call(index);
    }
  }
}

void GrantReplication::callNext(std::size_t index) {
  if (!states_[index].isCalled && !states_[index].queue.empty()) {
    call(index);
  }
}

void GrantReplication::call(std::size_t index) {
  Witness& witness = states_[index];
  witness.isCalled = true;
  StoreGrantsRequest request{lease_, witnesses_[index].incarnation,
                             std::exchange(witness.queue, {}),
                             unrecorded_.empty() ? nextNumber_ : *unrecorded_.begin()};
  std::vector<std::uint64_t> numbers;
  for (const LeaseGrant& grant : request.grants) {
    numbers.push_back(grant.number);
  }
  nodes_.call(witnesses_[index].address, std::move(request), timeLimit_,
              [weak = weak_from_this(), index,
               numbers = std::move(numbers)](const std::optional<LedgerReply>& reply) {
                if (const auto self = weak.lock()) {
                  self->onReply(index, numbers, reply);
                }
              });
}

void GrantReplication::onReply(std::size_t index, const std::vector<std::uint64_t>& numbers,
                               const std::optional<LedgerReply>& reply) {
  // A callback may drop the lease.
  const auto self = shared_from_this();
  Witness& witness = states_[index];
  const bool isStored = reply && reply->outcome == LedgerOutcome::Done;
  witness.isCalled = false;
  witness.hasFailed = !isStored;
  witness.isLost = witness.isLost || (reply && reply->outcome == LedgerOutcome::Rejected);
  for (const std::uint64_t number : numbers) {
    countVote(number, isStored);
  }
  callNext(index);
}

void GrantReplication::countVote(std::uint64_t number, bool isStored) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) {
    return;
  }
  Pending& pending = found->second;
  ++(isStored ? pending.stored : pending.failed);
  const std::size_t majority = witnessMajority(witnesses_.size());
  const bool isDecided =
      pending.stored >= majority || pending.failed > witnesses_.size() - majority;
  if (isDecided) {
    const bool hasMajorityStored = pending.stored >= majority;
    const Callback callback = std::move(pending.callback);
    pending_.erase(found);
    callback(hasMajorityStored);
  }
}

bool GrantReplication::hasMajority() const {
  const auto answering = std::count_if(states_.begin(), states_.end(), [](const Witness& witness) {
    return !witness.hasFailed && !witness.isLost;
  });
  return static_cast<std::size_t>(answering) >= witnessMajority(witnesses_.size());
}

bool GrantReplication::isImpaired() const {
  return std::any_of(states_.begin(), states_.end(),
                     [](const Witness& witness) { return witness.hasFailed || witness.isLost; });
}

void chooseWitnesses(WitnessNodes& nodes, const std::string& lease, std::size_t count,
                     Duration timeLimit,
                     std::function<void(std::vector<WitnessProcess>)> callback) {
  struct Choice {
    std::size_t count = 0;
    std::size_t awaited = 0;
    std::map<std::size_t, WitnessProcess> agreed;  ///< By rank.
    std::function<void(std::vector<WitnessProcess>)> callback;
  };
  // Two more are asked than are needed, so that nodes that do not answer delay nothing.
  constexpr std::size_t kSpareNodes = 2;
  std::vector<std::string> addresses = nodes.preferredFor(lease);
  addresses.resize(std::min(addresses.size(), count + kSpareNodes));
  if (addresses.empty()) {
    callback({});
    return;
  }
  auto choice = std::make_shared<Choice>(Choice{count, addresses.size(), {}, std::move(callback)});
  for (std::size_t rank = 0; rank < addresses.size(); ++rank) {
    nodes.call(
        addresses[rank], StoreGrantsRequest{lease, {}, {}, 0}, timeLimit,
        [choice, rank, address = addresses[rank]](const std::optional<LedgerReply>& reply) {
          --choice->awaited;
          if (reply && reply->outcome == LedgerOutcome::Done && !reply->incarnation.empty()) {
            choice->agreed[rank] = {address, reply->incarnation};
          }
          const bool isComplete = choice->agreed.size() == choice->count || choice->awaited == 0;
          if (!isComplete || !choice->callback) {
            return;
          }
          std::vector<WitnessProcess> witnesses;
          for (auto& [order, witness] : choice->agreed) {
            witnesses.push_back(std::move(witness));
          }
          std::exchange(choice->callback, {})(std::move(witnesses));
        });
  }
}

void sealLease(WitnessNodes& nodes, const std::string& lease,
               const std::vector<WitnessProcess>& witnesses, Duration timeLimit,
               std::function<void(SealedLease)> callback) {
  struct Sealing {
    std::size_t needed = 0;
    std::size_t awaited = 0;
    std::size_t remaining = 0;                        ///< Witnesses that have not restarted.
    std::map<std::string, BudgetReservation> grants;  ///< By request.
    std::function<void(SealedLease)> callback;
  };
  const std::size_t count = witnesses.size();
  auto sealing = std::make_shared<Sealing>(
      Sealing{witnessSealQuorum(count), count, count, {}, std::move(callback)});
  for (const WitnessProcess& witness : witnesses) {
    nodes.call(witness.address, SealLeaseRequest{lease, witness.incarnation}, timeLimit,
               [sealing, quorum = witnessSealQuorum(count)](std::optional<LedgerReply> reply) {
                 --sealing->awaited;
                 if (!sealing->callback) {
                   return;
                 }
                 if (reply && reply->outcome == LedgerOutcome::Rejected) {
                   --sealing->remaining;
                 }
                 if (reply && reply->outcome == LedgerOutcome::Done) {
                   --sealing->needed;
                   for (LeaseGrant& grant : reply->grants) {
                     std::string request = grant.reservation.request;
                     sealing->grants.emplace(std::move(request), std::move(grant.reservation));
                   }
                 }
                 SealedLease sealed;
                 sealed.isComplete = sealing->needed == 0;
                 sealed.isLost = sealing->remaining < quorum;
                 if (sealed.isComplete) {
                   for (auto& [request, reservation] : sealing->grants) {
                     sealed.grants.push_back(std::move(reservation));
                   }
                 }
                 const bool isDecided =
                     sealed.isComplete || sealed.isLost || sealing->awaited < sealing->needed;
                 if (isDecided) {
                   std::exchange(sealing->callback, {})(std::move(sealed));
                 }
               });
  }
}

}  // namespace gorsetrail::ledger
