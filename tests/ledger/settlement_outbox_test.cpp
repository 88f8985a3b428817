// Guards the bounds of settlements that wait for a coordinator, and the pace at which they are
// sent.
#include "ledger/settlement_outbox.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::ledger;

namespace {

const logstore::PartitionAddress kOne{"budgets", 0};
const logstore::PartitionAddress kTwo{"budgets", 1};

}  // namespace

TEST_GROUP(SettlementOutbox) {
  SettlementOutboxKnobs knobs;
  Instant now;

  std::size_t add(SettlementOutbox & outbox, const logstore::PartitionAddress& partition,
                  const std::string& request) const {
    return outbox.add(partition, {{request, "program", 1}, now});
  }
};

TEST(SettlementOutbox, probesEachPartitionWithOneSettlementAtATime) {
  SettlementOutbox outbox(knobs);
  add(outbox, kOne, "a");
  add(outbox, kOne, "b");
  add(outbox, kTwo, "c");
  LONGS_EQUAL(2, outbox.takeProbes().size());
  LONGS_EQUAL(1, outbox.size());
  LONGS_EQUAL(0, outbox.takeProbes().size());
  CHECK_TRUE(outbox.onResult(kOne, false).empty());
  LONGS_EQUAL(1, outbox.takeProbes().size());
}

TEST(SettlementOutbox, sendsMoreAfterEachSuccessUpToTheLimit) {
  knobs.maximumInFlight = 5;
  SettlementOutbox outbox(knobs);
  for (int number = 0; number < 20; ++number) {
    add(outbox, kOne, std::to_string(number));
  }
  std::size_t inFlight = outbox.takeProbes().size();
  LONGS_EQUAL(1, inFlight);
  std::size_t most = inFlight;
  std::size_t sent = inFlight;
  while (inFlight > 0) {
    const std::size_t next = outbox.onResult(kOne, true).size();
    inFlight += next;
    --inFlight;
    sent += next;
    most = std::max(most, inFlight);
  }
  LONGS_EQUAL(20, sent);
  LONGS_EQUAL(5, most);
  LONGS_EQUAL(0, outbox.size());
  LONGS_EQUAL(0, outbox.bytes());
}

TEST(SettlementOutbox, dropsTheOldestBeyondItsEntriesOrBytes) {
  knobs.maximumEntries = 2;
  SettlementOutbox outbox(knobs);
  LONGS_EQUAL(0, add(outbox, kOne, "a"));
  LONGS_EQUAL(0, add(outbox, kOne, "b"));
  LONGS_EQUAL(1, add(outbox, kOne, "c"));
  STRCMP_EQUAL("b", outbox.takeProbes().front().settlement.request.c_str());

  SettlementOutboxKnobs few;
  few.maximumBytes = 1000;
  SettlementOutbox small(few);
  LONGS_EQUAL(0, add(small, kOne, "a"));
  LONGS_EQUAL(1, add(small, kOne, std::string(900, 'x')));
  CHECK(small.bytes() <= few.maximumBytes);
}

TEST(SettlementOutbox, dropsSettlementsWhoseAccountsAreForgotten) {
  SettlementOutbox outbox(knobs);
  add(outbox, kOne, "a");
  now += knobs.retention - seconds(1);
  add(outbox, kTwo, "b");
  LONGS_EQUAL(0, outbox.dropExpired(now));
  now += seconds(1);
  LONGS_EQUAL(1, outbox.dropExpired(now));
  LONGS_EQUAL(1, outbox.size());
}
