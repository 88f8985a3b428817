// Guards against runs that stop counting by an answer of another process.
#include "edge/exchange_world.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;
using namespace gorsetrail::edge::testing;

namespace {

const routing::RequestKey kRequest{1, 2};
const std::string kAddress = "10.0.0.1:r1";
constexpr Duration kRunTime = seconds(4);

}  // namespace

TEST_GROUP(SurvivalProofs) {
  ExchangeWorld world;
  SurvivalProofs& proofs = world.survivalProofs;
  Instant sentAt = world.timers.now;
  std::uint64_t lastNumber = 0;

  /// A run is interrupted 100 ms after it was sent.
  void interrupt() {
    sentAt = world.timers.now;
    world.timers.advance(milliseconds(100));
    const std::uint64_t number = ++lastNumber;
    world.runHistories.record(kRequest, {number, "r1"}, seconds(600));
    proofs.watch({kRequest, number, kAddress, "/health", sentAt, sentAt + kRunTime});
  }
  std::size_t counted() { return world.runHistories.countedRuns(kRequest); }
};

TEST(SurvivalProofs, onlyALaterRequestOnAnEarlierConnectionIsProof) {
  interrupt();
  const Instant earlier = sentAt - milliseconds(1);
  const Instant afterRun = sentAt + kRunTime;
  world.timers.advance(seconds(6));
  proofs.onAnswer(kAddress, sentAt, afterRun);  // The next process may have taken the connection.
  proofs.onAnswer(kAddress, earlier, afterRun - milliseconds(1));  // The run may have gone on.
  proofs.onAnswer("10.0.0.1:r2", earlier, afterRun);
  LONGS_EQUAL(1, counted());
  proofs.onAnswer(kAddress, earlier, afterRun);
  LONGS_EQUAL(0, counted());
}

TEST(SurvivalProofs, aReplicaIsProbedOnceTheNextRunWouldBeTheLast) {
  interrupt();
  world.timers.advance(seconds(6));
  LONGS_EQUAL(0, world.client.probes.size());
  interrupt();
  world.timers.advance(kRunTime - milliseconds(200));
  for (const auto& probe : world.client.probes) {
    CHECK(*probe->request.connectionOpenedBefore < sentAt);  // Those of the first run.
  }
  world.timers.advance(seconds(1));
  const auto probe = world.client.probes.back();
  CHECK(*probe->request.connectionOpenedBefore == sentAt);
  STRCMP_EQUAL("/health", probe->request.target.c_str());
  CHECK_TRUE(static_cast<bool>(probe->handler.onBody));  // Without it, a body is collected.
  STRCMP_EQUAL(kAddress.c_str(), probe->request.address.c_str());
}

TEST(SurvivalProofs, anAnswerToAProbeOfTheLaterRunSettlesOnlyWhatItProves) {
  interrupt();
  interrupt();
  world.timers.advance(seconds(5));
  const auto probe = world.client.probes.back();
  CHECK(*probe->request.connectionOpenedBefore == sentAt);
  probe->handler.onDone({});
  LONGS_EQUAL(1, counted());
}

TEST(SurvivalProofs, failedProbesBecomeRareAndProveNothing) {
  interrupt();
  interrupt();
  std::size_t answered = 0;
  for (int period = 0; period < 400; ++period) {
    for (; answered < world.client.probes.size(); ++answered) {
      world.client.probes[answered]->handler.onFailure({http::FailureStage::NotSent, "none"});
    }
    world.timers.advance(milliseconds(250));
  }
  LONGS_EQUAL(2, counted());
  // Two runs for 96 s: 5 probes while the pause grows to 8 s, then one each 8 s.
  CHECK_COMPARE(world.client.probes.size(), <=, 2U * (5 + 96 / 8));
  CHECK_COMPARE(world.client.probes.size(), >=, 20U);
}

TEST(SurvivalProofs, settledRunsAreNotWatched) {
  interrupt();
  LONGS_EQUAL(1, proofs.size());
  world.runHistories.settle(kRequest, lastNumber, routing::RunState::Survived,
                            routing::RunEvidence::Answer);
  world.timers.advance(seconds(1));
  LONGS_EQUAL(0, proofs.size());
}

TEST(SurvivalProofs, theNumberOfRunsIsBounded) {
  const std::size_t most = SurvivalProofKnobs{}.maximumRuns;
  for (std::size_t run = 0; run < most + 10; ++run) {
    proofs.watch({kRequest, run, kAddress, "", sentAt, sentAt});
  }
  LONGS_EQUAL(most, proofs.size());
}
