#include "ledger/settlement_outbox.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gorsetrail::ledger {

std::size_t SettlementOutbox::bytesOf(const BudgetSettlement& settlement) {
  return sizeof(WaitingSettlement) + settlement.request.size() + settlement.program.size();
}

std::size_t SettlementOutbox::add(const logstore::PartitionAddress& partition,
                                  WaitingSettlement settlement) {
  Queue& queue = queues_[partition];
  bytes_ += bytesOf(settlement.settlement);
  ++entries_;
  queue.waiting.push_back(std::move(settlement));
  std::size_t dropped = 0;
  const auto isFull = [this] {
    return entries_ > knobs_.maximumEntries || bytes_ > knobs_.maximumBytes;
  };
  while (isFull() && !queue.waiting.empty()) {
    removeOldest(queue);
    ++dropped;
  }
  return dropped;
}

WaitingSettlement SettlementOutbox::removeOldest(Queue& queue) {
  WaitingSettlement oldest = std::move(queue.waiting.front());
  queue.waiting.pop_front();
  bytes_ -= bytesOf(oldest.settlement);
  --entries_;
  return oldest;
}

std::vector<WaitingSettlement> SettlementOutbox::take(Queue& queue, std::size_t count) {
  std::vector<WaitingSettlement> taken;
  while (taken.size() < count && !queue.waiting.empty() &&
         queue.inFlight < knobs_.maximumInFlight) {
    taken.push_back(removeOldest(queue));
    ++queue.inFlight;
  }
  return taken;
}

std::vector<WaitingSettlement> SettlementOutbox::takeProbes() {
  std::vector<WaitingSettlement> probes;
  for (auto& [partition, queue] : queues_) {
    if (queue.inFlight == 0) {
      std::vector<WaitingSettlement> probe = take(queue, 1);
      std::move(probe.begin(), probe.end(), std::back_inserter(probes));
    }
  }
  return probes;
}

std::vector<WaitingSettlement> SettlementOutbox::onResult(
    const logstore::PartitionAddress& partition, bool accepted) {
  Queue& queue = queues_[partition];
  --queue.inFlight;
  constexpr std::size_t kSentAfterSuccess = 2;
  return accepted ? take(queue, kSentAfterSuccess) : std::vector<WaitingSettlement>();
}

std::size_t SettlementOutbox::dropExpired(Instant now) {
  std::size_t dropped = 0;
  for (auto& [partition, queue] : queues_) {
    const std::size_t before = queue.waiting.size();
    std::erase_if(queue.waiting, [&](const WaitingSettlement& waiting) {
      const bool isExpired = now - waiting.endedAt >= knobs_.retention;
      bytes_ -= isExpired ? bytesOf(waiting.settlement) : 0;
      return isExpired;
    });
    dropped += before - queue.waiting.size();
  }
  entries_ -= dropped;
  return dropped;
}

}  // namespace gorsetrail::ledger
