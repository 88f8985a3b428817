#include <nlohmann/json.hpp>

#include "node/core/prompt_prefix.h"
#include "test_fleet.h"

// Last, since it redefines operator new.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::node;

TEST_GROUP(Holds) {
  TestFleet fleet{3};

  void setup() override {
    fleet.publishSample();
    fleet.backend = [this](const SeenDispatch& dispatch) {
      fleet.report(dispatch,
                   engine::DispatchFinished{dispatch.command.id.attempt, "fine", 4000, 0, 50});
    };
  }
  static engine::CallRequest longCall(std::uint64_t handle) {
    engine::CallRequest call = TestFleet::proof(handle, "request-" + std::to_string(handle));
    call.messages = R"([ {"role": "user", "content": ")" + std::string(8000, 'a') + R"("} ])";
    call.body = R"({"model":"proof-assistant","messages":)" + call.messages + "}";
    return call;
  }
  engine::PlaceHold onlyHold() {
    CHECK_EQUAL(1U, fleet.holds.size());
    return fleet.holds.begin()->second;
  }
};

TEST(Holds, ThePrefixHasTheEnginesName) {
  const auto prompt =
      promptPrefixOf("lumo-7b", "proof", R"([ {"role":"user", "content":"a\u0062"} ])");
  CHECK(prompt.has_value());
  const std::string canonical =
      "lumo-7b\nproof\n[{\"content\":\"ab\",\"role\":\"user\"},"
      "{\"content\":\"" +
      std::string(100, 'x') + "\",\"role\":\"assistant\"}";
  CHECK(prefixWithAnswer(*prompt, std::string(100, 'x')) ==
        scheduling::prefixChainOf(canonical, kCacheBlockTokens).back());
  CHECK_FALSE(promptPrefixOf("lumo-7b", "proof", "{}").has_value());
}

TEST(Holds, ArePlacedAtTheReplicaOfTheLastCallAndReleasedAtClose) {
  fleet.call(1, longCall(1));
  fleet.run(seconds(1));
  const SeenDispatch& dispatch = fleet.dispatches.at(0);
  const engine::PlaceHold hold = onlyHold();
  STRCMP_EQUAL(dispatch.command.backendName.c_str(), hold.backendName.c_str());
  STRCMP_EQUAL(dispatch.command.address.c_str(), hold.address.c_str());
  CHECK(hold.program == dispatch.command.id.program);
  CHECK(hold.epoch == dispatch.command.id.epoch);
  CHECK_EQUAL(1U, fleet.core(1).counters().holdsHeld);
  fleet.core(1).onCloseProgram(CallHandle(2), longCall(1).key, fleet.now);
  fleet.run(seconds(1));
  CHECK_EQUAL(1U, fleet.callers[CallHandle(2)].closed);
  CHECK_EQUAL(0U, fleet.holds.size());
  CHECK_EQUAL(0U, fleet.core(1).counters().holdsHeld);
}

TEST(Holds, ShortPromptsAndApplicationsHaveNone) {
  fleet.backend = [this](const SeenDispatch& dispatch) { fleet.finish(dispatch, "{}"); };
  fleet.call(1, TestFleet::proof(1, "request-1"));
  fleet.call(1, TestFleet::press(2, "request-2"));
  fleet.run(seconds(1));
  CHECK_EQUAL(1U, fleet.callers[CallHandle(1)].completed.size());
  CHECK_EQUAL(1U, fleet.callers[CallHandle(2)].completed.size());
  CHECK_EQUAL(0U, fleet.holds.size());
}

TEST(Holds, AreReleasedByAPlannedStop) {
  fleet.call(1, longCall(1));
  fleet.run(seconds(1));
  CHECK_EQUAL(1U, fleet.holds.size());
  fleet.core(1).beginStop(fleet.now);
  fleet.run(seconds(1));
  CHECK_EQUAL(0U, fleet.holds.size());
}

TEST(Holds, TheNewOwnerLooksForTheHoldOfTheFormerOne) {
  fleet.call(1, longCall(1));
  fleet.run(seconds(1));
  const engine::PlaceHold former = onlyHold();
  fleet.kill(NodeId(1));
  fleet.run(seconds(15));
  engine::CallRequest next = longCall(2);
  next.messages.pop_back();
  next.messages += R"(,{"role":"assistant","content":"fine"},{"role":"user","content":"go on"}])";
  fleet.call(2, next);
  fleet.run(seconds(5));
  CHECK_EQUAL(1U, fleet.callers[CallHandle(2)].completed.size());
  CHECK_EQUAL(2U, fleet.holds.size());
  const std::string place = fleet.dispatches.back().command.backendName;
  CHECK(fleet.holdReadings.size() > 0);
  STRCMP_EQUAL(place.c_str(), fleet.holdReadings.back().backendName.c_str());
  const std::string name = engine::holdNameOf(former.program, former.epoch);
  fleet.core(2).onHoldInventory({place, {{name, former.program.toHex(), former.epoch}}}, fleet.now);
  fleet.run(seconds(1));
  CHECK_FALSE(fleet.holds.contains(name));
  CHECK_EQUAL(1U, fleet.holds.size());
  CHECK_EQUAL(1U, fleet.core(2).counters().holdsReaped);
}
