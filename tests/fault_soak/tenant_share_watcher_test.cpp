// The check of tenant shares fires when a tenant below its share is refused for too long, and only
// then: not while loads are not known yet, and not without a tenant that has more than its share.
#include "lab/faultsoak/tenant_share_watcher.h"

#include "base/steady_clock.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::lab;

TEST_GROUP(TenantShareWatcher) {
  PromiseWatcher violations{10};
  TenantShareWatcher watcher{violations, {{"small", 1}, {"large", 3}}};
  Instant now = steadyNow();

  /// Each 100 ms the small tenant, whose share of 12 slots is 3, asks five times, with another
  /// program for each try.
  void play(Duration length, std::size_t small, std::size_t large, int refusedOfFive) {
    for (const Instant end = now + length; now < end; now += milliseconds(100)) {
      watcher.onLoads({{"small", small}, {"large", large}}, 12, overloading, now);
      for (int number = 0; number < 5; ++number) {
        watcher.onTurn("p" + std::to_string(++programs), "small", number < refusedOfFive, now);
      }
    }
  }
  void checkOnly(const char* detail) {
    watcher.check();
    LONGS_EQUAL(1, violations.violations().size());
    STRCMP_EQUAL("a_tenant_below_its_share_is_served",
                 violations.violations().front().promise.c_str());
    STRCMP_CONTAINS(detail, violations.violations().front().detail.c_str());
  }
  void checkNone() {
    watcher.check();
    LONGS_EQUAL(0, violations.violations().size());
  }
  int programs = 0;
  std::vector<std::string> overloading;
};

TEST(TenantShareWatcher, seesATenantThatIsRefusedForTooLong) {
  play(seconds(3), 1, 20, 2);
  checkOnly("small: ");
}

TEST(TenantShareWatcher, seesRefusalsWhileTheOverloadingTenantIsKeptWithinItsShare) {
  overloading = {"large"};
  play(seconds(3), 1, 7, 2);
  checkOnly("small: ");
}

TEST(TenantShareWatcher, aTenantThatOverloadsAloneIsNotWrongedByItself) {
  overloading = {"small"};
  play(seconds(3), 1, 7, 2);
  checkNone();
}

TEST(TenantShareWatcher, seesAProgramThatIsRefusedForTooLong) {
  for (int number = 0; number < 9; ++number) {
    play(milliseconds(200), 1, 20, 0);
    watcher.onTurn("refused", "small", true, now);
  }
  checkOnly("small: refused for 1600 ms");
}

TEST(TenantShareWatcher, anAnswerEndsTheRefusalsOfAProgram) {
  for (int number = 0; number < 20; ++number) {
    play(milliseconds(200), 1, 20, 0);
    watcher.onTurn("refused", "small", number % 5 > 0, now);
  }
  checkNone();
}

TEST(TenantShareWatcher, refusalsAreRightUntilLoadsAreKnown) {
  play(milliseconds(1400), 1, 20, 5);
  play(seconds(2), 1, 20, 1);
  checkNone();
}

TEST(TenantShareWatcher, refusalsAreRightWhereNobodyHasMoreThanItsShare) {
  play(seconds(3), 1, 8, 5);
  checkNone();
}

TEST(TenantShareWatcher, refusalsAreRightForATenantThatHasItsShare) {
  play(seconds(3), 4, 20, 5);
  checkNone();
}

TEST(TenantShareWatcher, timeOfStandstillDoesNotCount) {
  play(milliseconds(1400), 1, 20, 5);
  watcher.forget();
  play(milliseconds(1400), 1, 20, 5);
  checkNone();
}

// Nodes are lost behind the check: refusals are right then, whatever the last loads were.
TEST(TenantShareWatcher, refusalsBehindTheCheckDoNotCount) {
  play(seconds(2), 1, 20, 0);
  watcher.check();
  const std::size_t tries = watcher.lateTries().at("small").tries;
  for (int number = 0; number < 20; ++number, now += milliseconds(100)) {
    watcher.onTurn("refused", "small", true, now);
  }
  LONGS_EQUAL(tries, watcher.lateTries().at("small").tries);
  checkNone();
}
