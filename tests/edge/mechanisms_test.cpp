// Guards against mechanism names that cannot be parsed, or unknown names that are accepted.
#include "edge/mechanisms.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;

TEST_GROUP(Mechanisms){};

TEST(Mechanisms, areParsedByName) {
  const auto read = parseMechanisms("admission,budget_leases");
  CHECK(valueOf(read) == MechanismSet({Mechanism::BudgetLeases, Mechanism::Admission}));
  CHECK(valueOf(parseMechanisms("")).empty());
  CHECK(mechanismName(Mechanism::TopicGateways) == "topic_gateways");
}

TEST(Mechanisms, anUnknownNameIsRejectedWithTheListOfValidNames) {
  const auto read = parseMechanisms("admission,magic");
  CHECK_FALSE(succeeded(read));
  CHECK(errorOf(read).toText().find("hedged_store_calls") != std::string::npos);
}
