// Guards against missed file changes and against reports of half-written files.
#include "edge/file_watcher.h"

#include <cstdio>
#include <fstream>
#include <memory>

#include "logstore/fake_log_store.h"
// Include after the standard headers, because CppUTest redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;

TEST_GROUP(FileWatcher) {
  const std::string path = "watched-by-file-watcher-test.toml";
  logstore::FakeTimers timers;
  std::string reported;
  int reportCount = 0;
  std::shared_ptr<FileWatcher> watcher;

  void setup() override {
    write("one");
    watcher =
        std::make_shared<FileWatcher>(timers, path, seconds(2), [this](const std::string& content) {
          reported = content;
          ++reportCount;
        });
    watcher->start("one");
  }
  void teardown() override { std::remove(path.c_str()); }
  void write(const std::string& text) const {
    std::ofstream file(path, std::ios::trunc);
    file << text;
  }
};

TEST(FileWatcher, reportsAChangeOnce) {
  timers.advance(seconds(10));
  LONGS_EQUAL(0, reportCount);
  write("two");
  timers.advance(seconds(10));
  LONGS_EQUAL(1, reportCount);
  STRCMP_EQUAL("two", reported.c_str());
}

TEST(FileWatcher, checksImmediatelyOnDemand) {
  write("two");
  watcher->check();
  LONGS_EQUAL(1, reportCount);
}

TEST(FileWatcher, ignoresAnEmptyFileDuringAWrite) {
  write("");
  timers.advance(seconds(4));
  LONGS_EQUAL(0, reportCount);
  write("two");
  timers.advance(seconds(4));
  LONGS_EQUAL(1, reportCount);
}

// Guards against losing a change between the first read of the settings and the start of polling.
TEST(FileWatcher, reportsAChangeMadeBeforeStart) {
  write("two");
  watcher->start("one");
  LONGS_EQUAL(1, reportCount);
  STRCMP_EQUAL("two", reported.c_str());
}
