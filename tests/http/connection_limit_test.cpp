// Which connections give way to new ones.
#include "http/connection_limit.h"

#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::http;

TEST_GROUP(ConnectionLimit) {
  std::shared_ptr<ConnectionLimit> limit = std::make_shared<ConnectionLimit>(3);
  Instant now{seconds(100)};
  std::map<std::string, ConnectionSlotPtr> slots;
  std::string closed;

  bool open(const std::string& name) {
    now += seconds(1);
    ConnectionSlotPtr slot = limit->open(
        [this, name] {
          closed += name;
          slots.erase(name);
        },
        now);
    const bool opened = slot != nullptr;
    if (opened) {
      slots[name] = std::move(slot);
    }
    return opened;
  }
  void enter(const std::string& name, ConnectionStage stage) {
    now += seconds(1);
    slots[name]->enter(stage, now);
  }
  void answer(const std::string& name) {
    enter(name, ConnectionStage::Responding);
    slots[name]->noteAnswered();
    enter(name, ConnectionStage::Idle);
  }
};

TEST(ConnectionLimit, theOldestOfThoseWithoutAnAnswerGivesWayFirst) {
  open("served");
  answer("served");
  open("older");
  open("newer");
  enter("older", ConnectionStage::ReadingHead);  // An unfinished head earns nothing.
  CHECK_TRUE(open("next"));
  STRCMP_EQUAL("older", closed.c_str());
  LONGS_EQUAL(3, limit->open());
  LONGS_EQUAL(1, limit->counters().closed);
}

TEST(ConnectionLimit, thenTheLongestIdle) {
  for (const char* name : {"a", "b", "c"}) {
    open(name);
  }
  answer("b");
  answer("a");
  answer("c");
  CHECK_TRUE(open("next"));
  STRCMP_EQUAL("b", closed.c_str());
}

TEST(ConnectionLimit, unfinishedRequestsGiveWayBeforeNothingElseIsLeft) {
  open("body");
  open("head");
  answer("head");
  open("running");
  enter("body", ConnectionStage::ReadingBody);
  enter("head", ConnectionStage::ReadingHead);
  enter("running", ConnectionStage::Responding);
  CHECK_TRUE(open("first"));
  STRCMP_EQUAL("head", closed.c_str());
  enter("first", ConnectionStage::Responding);
  CHECK_TRUE(open("second"));
  STRCMP_EQUAL("headbody", closed.c_str());
}

TEST(ConnectionLimit, requestsInProgressNeverGiveWay) {
  for (const char* name : {"a", "b", "c"}) {
    open(name);
    enter(name, ConnectionStage::Responding);
  }
  CHECK_FALSE(open("next"));
  LONGS_EQUAL(1, limit->counters().refused);
  enter("b", ConnectionStage::Lingering);
  CHECK_TRUE(open("next"));
  STRCMP_EQUAL("b", closed.c_str());
}

TEST(ConnectionLimit, aClosedConnectionGivesItsPlaceBack) {
  for (const char* name : {"a", "b", "c"}) {
    open(name);
  }
  slots.erase("a");
  CHECK_TRUE(open("next"));
  STRCMP_EQUAL("", closed.c_str());
}
