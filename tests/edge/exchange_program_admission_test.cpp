// Guards against programs that start at a service on which they cannot end in time, and against
// refusals of programs that have started.
#include <memory>
#include <string>

#include "edge/edge_knobs.h"
#include "edge/exchange_world.h"
#include "routing/service_times.h"
#include "tenant/api_key_hasher.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;
using namespace gorsetrail::edge::testing;

TEST_GROUP(ExchangeProgramAdmission) {
  routing::ServiceTimes times;
  ExchangeWorld world;

  void setup() override {
    EdgeSettings settings;
    settings.overloadControl = true;
    settings.limitsPrograms = true;
    world.context.programAdmission = programAdmissionOf(settings);
  }
  /// Leaves one replica idle and gives the others so much load that the service has `percent`.
  void setServiceLoad(double percent) {
    const auto replicas = world.replicas.all();
    for (const routing::ReplicaPtr& replica : replicas) {
      const double count = static_cast<double>(replicas.size());
      replica->othersInFlight = replica->entry.slots * percent / 100 * count / (count - 1);
    }
    replicas.front()->othersInFlight = 0;
  }
  void setPriority(std::uint32_t priority) {
    auto configuration = std::make_shared<routing::Configuration>(*world.routes.inForce());
    configuration->version = routing::ConfigurationVersion(2);
    for (routing::Route& route : configuration->routes) {
      route.priority = priority;
    }
    world.routes.apply(configuration);
  }
  /// Lets the model of the service learn turns of 300 ms.
  void learnTurns() {
    for (int count = 0; count < 64; ++count) {
      times.noteAnswer(*world.replicas.all().front(), {milliseconds(50), milliseconds(300), 4, 100},
                       true, world.timers.now);
    }
    world.context.serviceTimes = &times;
  }
  /// Continues a program.
  std::shared_ptr<ClientView> startTurn(Duration programTimeLeft) {
    CallRequest turn = ExchangeWorld::turn("again");
    turn.previousTurnId = "q0";
    turn.promptTokens = 100;
    turn.programTimeLeft = programTimeLeft;
    return world.start(std::move(turn));
  }
  std::string logged() {
    world.eventLog.flush();
    return world.lines;
  }
};

// The present check looks at the chosen replica alone, and a single free one lets any number of
// nodes start programs.
TEST(ExchangeProgramAdmission, aStartingProgramIsRefusedBeforeAnyDispatch) {
  setServiceLoad(110);
  const auto view = world.start(ExchangeWorld::turn("again"));
  LONGS_EQUAL(503, view->status);
  STRCMP_EQUAL("program_not_admitted", view->body.c_str());
  CHECK_FALSE(view->retryAfter.empty());
  LONGS_EQUAL(0, world.dispatches());
  const std::string lines = logged();
  STRCMP_CONTAINS("event=placement_refused", lines.c_str());
  STRCMP_CONTAINS("limit_percent=99 service_load_percent=110 decided_by=load", lines.c_str());
}

TEST(ExchangeProgramAdmission, programsThatHaveStartedGoOn) {
  setServiceLoad(110);
  CallRequest turn = ExchangeWorld::turn("again");
  turn.previousTurnId = "q0";
  const auto next = world.start(turn);
  LONGS_EQUAL(1, world.dispatches());
  CallRequest resumed = ExchangeWorld::turn("again");
  resumed.requestId = "q2";
  resumed.lastEventId = "3";
  resumed.resumedRequestId = "q0";
  world.knowOrigin("q0", "");
  const auto stream = world.start(resumed);
  LONGS_EQUAL(2, world.dispatches());
}

TEST(ExchangeProgramAdmission, theMostUrgentProgramsStartUpToTheWholeLimit) {
  setServiceLoad(110);
  setPriority(0);
  const auto view = world.start(ExchangeWorld::turn("again"));
  LONGS_EQUAL(1, world.dispatches());
}

// Deployments without overload control are served as before.
TEST(ExchangeProgramAdmission, withoutOverloadControlOrTheMechanismNothingIsRefused) {
  setServiceLoad(110);
  EdgeSettings settings;
  CHECK_FALSE(programAdmissionOf(settings).has_value());
  settings.overloadControl = true;
  CHECK_FALSE(programAdmissionOf(settings).has_value());  // Only an operator switches it on.
  settings.limitsPrograms = true;
  CHECK_TRUE(programAdmissionOf(settings).has_value());
  settings.disabledMechanisms = {Mechanism::ProgramAdmission};
  CHECK_FALSE(programAdmissionOf(settings).has_value());
  world.context.programAdmission.reset();
  const auto view = world.start(ExchangeWorld::turn("again"));
  LONGS_EQUAL(1, world.dispatches());
}

TEST(ExchangeProgramAdmission, requestsOutsideStreamsAreNotLimited) {
  setServiceLoad(110);
  const auto view = world.start(ExchangeWorld::request("safe"));
  LONGS_EQUAL(1, world.dispatches());
}

// Such a turn takes a slot from a program that can still end in time, and is late all the same.
TEST(ExchangeProgramAdmission, aTurnThatCannotEndInTimeCountsAsOverdue) {
  learnTurns();
  world.context.knobs.limitsOverduePrograms = true;
  for (const routing::ReplicaPtr& replica : world.replicas.all()) {
    replica->othersInFlight = 3;  // Of 4 slots.
  }
  const auto late = startTurn(milliseconds(250));
  LONGS_EQUAL(503, late->status);
  LONGS_EQUAL(0, world.dispatches());
  STRCMP_CONTAINS("stage=overdue", logged().c_str());
  const auto inTime = startTurn(milliseconds(350));
  LONGS_EQUAL(1, world.dispatches());
  STRCMP_EQUAL("1", world.call().headerOf("priority").c_str());
}

TEST(ExchangeProgramAdmission, withoutThePolicyOrAModelOnlyThePassedDeadlineCounts) {
  world.context.knobs.limitsOverduePrograms = true;
  for (const routing::ReplicaPtr& replica : world.replicas.all()) {
    replica->othersInFlight = 3;
  }
  const auto unknown = startTurn(milliseconds(250));
  LONGS_EQUAL(1, world.dispatches());
  learnTurns();
  world.context.programAdmission.reset();
  const auto off = startTurn(milliseconds(250));
  LONGS_EQUAL(2, world.dispatches());
}

// Otherwise a burst of programs that are late before they start would use the quota of a tenant's
// programs that have started.
TEST(ExchangeProgramAdmission, aFirstTurnThatCannotEndInTimeCountsAsStartingForTheQuota) {
  learnTurns();
  world.context.knobs.limitsOverduePrograms = true;
  tenant::ApiKeyHasher hasher{tenant::ApiKeyHasher::Secret{3}};
  auto configuration = std::make_shared<routing::Configuration>(*world.routes.inForce());
  configuration->version = routing::ConfigurationVersion(2);
  auto made = tenant::TenantDirectory::make({{"alice", {hasher.digestOf("key")}, 4, {20, 5}}});
  configuration->tenants =
      std::make_shared<const tenant::TenantDirectory>(std::move(valueOf(made)));
  world.routes.apply(configuration);
  CallRequest turn = ExchangeWorld::turn("again");
  turn.apiKey = hasher.digestOf("key");
  turn.programTimeLeft = milliseconds(100);
  const auto view = world.start(turn);
  LONGS_EQUAL(1, world.quota.asked.size());
  CHECK(world.quota.asked[0].second == quota::ProgramStage::Starting);
}

TEST(ExchangeProgramAdmission, metricsShowTheLimitsAndTheRefusals) {
  EdgeSnapshot snapshot;
  snapshot.programLimits = {{"model", 98}};
  snapshot.programsNotAdmitted = 5;
  const std::string text = world.metrics.render(snapshot);
  STRCMP_CONTAINS("gorsetrail_program_limit_percent{service=\"model\"} 98", text.c_str());
  STRCMP_CONTAINS("gorsetrail_programs_not_admitted_total 5", text.c_str());
}
