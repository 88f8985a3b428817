/// \file What a program costs: bytes on the wire for each call, and bytes of memory for each
/// record.
///
/// Messages are encoded by the real codec; memory is counted at the allocator. Text of turns and
/// answers is kept out (it is data, not control) by giving the calls next to none.
#include <cstdio>
#include <cstdlib>
#include <new>

#include "program/journal_cluster.h"
#include "wire/codec.h"

namespace {

std::size_t allocatedBytes = 0;

constexpr std::size_t kHeader = alignof(std::max_align_t);

}  // namespace

void* operator new(std::size_t size) {
  auto* block = static_cast<std::size_t*>(std::malloc(size + kHeader));
  if (block == nullptr) {
    std::abort();
  }
  *block = size;
  allocatedBytes += size;
  return reinterpret_cast<char*>(block) + kHeader;
}
void operator delete(void* pointer) noexcept {
  if (pointer != nullptr) {
    auto* block = reinterpret_cast<std::size_t*>(static_cast<char*>(pointer) - kHeader);
    allocatedBytes -= *block;
    std::free(block);
  }
}
void operator delete(void* pointer, std::size_t) noexcept { operator delete(pointer); }

namespace {

using namespace gorsetrail;
using namespace gorsetrail::program;

struct Traffic {
  std::size_t messages = 0;
  std::size_t bytes = 0;
};

Traffic trafficOf(unsigned calls, std::uint32_t owner, bool repeatable) {
  JournalCluster cluster(4, 1);
  Traffic traffic;
  cluster.finish(cluster.call(owner, "open", repeatable));
  cluster.run(seconds(1));
  cluster.onSent = [&](const JournalMessage& message) {
    ++traffic.messages;
    traffic.bytes += wire::encodeFrame({NodeId(1), Incarnation(1), message}).size();
  };
  for (unsigned index = 0; index < calls; ++index) {
    const std::string key = "call-" + std::to_string(index);
    cluster.finish(cluster.call(owner, key, repeatable, "[]", key));
    cluster.run(seconds(1));
  }
  return traffic;
}

void printTraffic(const char* kind, std::uint32_t owner, bool repeatable) {
  constexpr unsigned kCalls = 100;
  constexpr double kCallsPerNodeAndSecond = 7.5;
  const Traffic traffic = trafficOf(kCalls, owner, repeatable);
  const double bytes = static_cast<double>(traffic.bytes) / kCalls;
  std::printf("%s: %.1f messages and %.0f bytes a call, %.2f KB/s a node at %.1f calls/s\n", kind,
              static_cast<double>(traffic.messages) / kCalls, bytes,
              bytes * kCallsPerNodeAndSecond / 1000.0, kCallsPerNodeAndSecond);
}

ProgramRecord recordOf(unsigned calls) {
  ProgramRecord record{{"hall-1", "press-a", "order-17"}, {}, {}, false};
  for (std::uint32_t call = 1; call <= calls; ++call) {
    IntentEntry intent;
    intent.call = CallNumber(call);
    OutcomeEntry outcome;
    outcome.call = CallNumber(call);
    outcome.status = CallStatus::Completed;
    record.entries.push_back(
        {SequenceNumber(std::uint64_t{2} * call - 1), Epoch(1), std::move(intent)});
    record.entries.push_back(
        {SequenceNumber(std::uint64_t{2} * call), Epoch(1), std::move(outcome)});
  }
  return record;
}

void printMemory(unsigned calls) {
  const std::size_t before = allocatedBytes;
  const ProgramRecord record = recordOf(calls);
  const std::size_t copied = allocatedBytes - before;
  CallLedger ledger;
  ledger.load(record);
  std::printf("record of %u calls without text: %zu bytes at a replica, %zu more at its owner\n",
              calls, copied + sizeof(ProgramRecord), allocatedBytes - before - copied);
}

}  // namespace

int main() {
  // Nodes 1 to 3 are the replicas.
  printTraffic("repeatable, owner among the replicas", 1, true);
  printTraffic("repeatable, owner elsewhere", 4, true);
  printTraffic("not repeatable, owner among the replicas", 1, false);
  printTraffic("not repeatable, owner elsewhere", 4, false);
  for (const unsigned calls : {1U, 10U, 50U}) {
    printMemory(calls);
  }
  std::printf("sizeof JournalEntry %zu, LedgerCall %zu\n", sizeof(JournalEntry),
              sizeof(LedgerCall));
  return 0;
}
