// Clients stay at a node while a connection to it is open, and send again only what they may.
#include "lab/faultsoak/node_choice.h"

#include <set>
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::lab;

namespace {

SoakAnswer answered(unsigned status) { return {status, true, "", false}; }

SoakAnswer unsent() { return {0, false, "", true}; }

}  // namespace

TEST_GROUP(NodeChoice) {
  RandomSource random{7};
  NodeChoice choice{5};
};

TEST(NodeChoice, staysWhileAConnectionIsOpen) {
  const std::size_t first = choice.next(false, random);
  for (int request = 0; request < 50; ++request) {
    LONGS_EQUAL(first, choice.next(true, random));
  }
}

TEST(NodeChoice, aNewConnectionGoesToAnyNode) {
  std::set<std::size_t> seen;
  for (int request = 0; request < 100; ++request) {
    seen.insert(choice.next(false, random));
  }
  LONGS_EQUAL(5, seen.size());
}

TEST(NodeChoice, leavesANodeThatDidNotAnswerAlsoWithAConnectionOpen) {
  for (int request = 0; request < 50; ++request) {
    const std::size_t failed = choice.next(false, random);
    choice.onNoAnswer();
    CHECK(choice.next(true, random) != failed);
  }
}

TEST(NodeChoice, theFirstRequestGoesToAnyNodeAlsoWithAConnectionOpen) {
  std::set<std::size_t> seen;
  for (int client = 0; client < 100; ++client) {
    seen.insert(NodeChoice(5).next(true, random));
  }
  LONGS_EQUAL(5, seen.size());
}

TEST(NodeChoice, aLoneNodeIsAskedAgain) {
  NodeChoice alone{1};
  alone.next(false, random);
  alone.onNoAnswer();
  LONGS_EQUAL(0, alone.next(false, random));
}

TEST(NodeChoice, requestsThatRunOnceGoAgainOnlyAfterAPromiseOrUnsent) {
  for (const SoakRoute route : {SoakRoute::Turn, SoakRoute::Unsafe}) {
    CHECK(maySendAgain(route, answered(503)));
    CHECK(maySendAgain(route, answered(421)));
    CHECK(maySendAgain(route, unsent()));
    CHECK_FALSE(maySendAgain(route, answered(0)));
    CHECK_FALSE(maySendAgain(route, answered(502)));
    CHECK_FALSE(maySendAgain(route, answered(504)));
  }
}

TEST(NodeChoice, requestsThatMayRepeatGoAgainAfterAnyFailure) {
  CHECK(maySendAgain(SoakRoute::Safe, answered(0)));
  CHECK(maySendAgain(SoakRoute::Resumable, answered(502)));
}

TEST(NodeChoice, nothingGoesAgainAfterAnAnswerThatIsFinal) {
  for (const unsigned status : {200U, 400U, 401U, 402U, 404U, 413U, 431U}) {
    CHECK_FALSE(maySendAgain(SoakRoute::Safe, answered(status)));
  }
}
