// Guards what a witness promises: a grant that it confirmed is among those of a sealed lease, and
// nothing is added to a sealed lease.
#include "ledger/lease_witness.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::ledger;

TEST_GROUP(LeaseWitness) {
  LeaseWitnessKnobs knobs;
  LeaseWitness witness{"w1", knobs};
  Instant now{seconds(1000)};

  static LeaseGrant grant(std::uint64_t number) {
    return {{"r" + std::to_string(number), "program", 10 * number}, number};
  }
  LeaseWitness::Outcome store(const std::string& lease, std::uint64_t number,
                              std::uint64_t recordedBelow = 0,
                              const std::string& incarnation = "w1") {
    return witness.store({lease, incarnation, {grant(number)}, recordedBelow}, now);
  }
  std::optional<std::vector<LeaseGrant>> seal(const std::string& lease,
                                              const std::string& incarnation = "w1") {
    auto sealed = witness.seal({lease, incarnation}, now);
    const auto* const grants = std::get_if<std::vector<LeaseGrant>>(&sealed);
    return grants == nullptr ? std::nullopt : std::optional(*grants);
  }
};

TEST(LeaseWitness, aSealedLeaseHasAllConfirmedGrantsAndTakesNoFurther) {
  CHECK(store("a", 1) == LeaseWitness::Outcome::Stored);
  CHECK(store("a", 2) == LeaseWitness::Outcome::Stored);
  CHECK(store("b", 1) == LeaseWitness::Outcome::Stored);
  LONGS_EQUAL(2, seal("a")->size());
  LONGS_EQUAL(20, seal("a")->back().reservation.tokens);
  CHECK(store("a", 3) == LeaseWitness::Outcome::Refused);
  LONGS_EQUAL(2, seal("a")->size());
  CHECK(store("b", 2) == LeaseWitness::Outcome::Stored);
}

// A grant that arrives late, after the lease was sealed here, must find no majority.
TEST(LeaseWitness, aLeaseIsSealedBeforeItsFirstGrantArrives) {
  LONGS_EQUAL(0, seal("a")->size());
  CHECK(store("a", 1) == LeaseWitness::Outcome::Refused);
}

TEST(LeaseWitness, doesNotAnswerForTheProcessBeforeIt) {
  CHECK(store("a", 1, 0, "w0") == LeaseWitness::Outcome::Refused);
  CHECK_FALSE(seal("a", "w0").has_value());
}

// Otherwise a holder that gives two leases one id would use grants that are stored nowhere.
TEST(LeaseWitness, confirmsNoGrantInPlaceOfAnotherOne) {
  CHECK(store("a", 1) == LeaseWitness::Outcome::Stored);
  CHECK(store("a", 1) == LeaseWitness::Outcome::Stored);
  const LeaseGrant other{{"other", "program", 10}, 1};
  CHECK(witness.store({"a", "w1", {grant(2), other}, 0}, now) == LeaseWitness::Outcome::Refused);
  LONGS_EQUAL(1, seal("a")->size());
}

TEST(LeaseWitness, forgetsRecordedGrants) {
  store("a", 1);
  store("a", 2);
  store("a", 3, 3);
  LONGS_EQUAL(1, seal("a")->size());
  LONGS_EQUAL(3, seal("a")->front().number);
}

TEST(LeaseWitness, confirmsNothingBeyondItsBounds) {
  knobs.maximumBytes = 250;
  knobs.maximumLeases = 2;
  witness = LeaseWitness("w1", knobs);
  CHECK(store("a", 1) == LeaseWitness::Outcome::Stored);
  CHECK(store("a", 2) == LeaseWitness::Outcome::Stored);
  CHECK(store("a", 3) == LeaseWitness::Outcome::Full);
  CHECK(witness.bytes() <= knobs.maximumBytes);
  CHECK(store("a", 3, 3) == LeaseWitness::Outcome::Stored);
  LONGS_EQUAL(1, seal("a")->size());
  LONGS_EQUAL(0, seal("b")->size());
  CHECK(store("c", 1) == LeaseWitness::Outcome::Full);
  CHECK_FALSE(seal("c").has_value());
}

TEST(LeaseWitness, forgetsLeasesThatWereNotUsedForTheRetention) {
  store("a", 1);
  now += knobs.retention - seconds(1);
  witness.sweep(now);
  LONGS_EQUAL(1, witness.leases());
  now += seconds(1);
  witness.sweep(now);
  LONGS_EQUAL(0, witness.leases());
  LONGS_EQUAL(0, witness.bytes());
}

TEST(LeaseWitness, tellsItsIncarnationToNodesThatChooseIt) {
  CHECK(witness.store({"a", {}, {}, 0}, now) == LeaseWitness::Outcome::Stored);
  LONGS_EQUAL(0, witness.leases());
}
