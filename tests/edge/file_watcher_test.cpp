// A changed file is noticed without a signal; an unfinished one is not taken.
#include "edge/file_watcher.h"

#include <cstdio>
#include <fstream>
#include <memory>

#include "logstore/fake_log_store.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;

TEST_GROUP(FileWatcher) {
  const std::string path = "watched-by-file-watcher-test.toml";
  logstore::FakeTimers timers;
  std::string told;
  int times = 0;
  std::shared_ptr<FileWatcher> watcher;

  void setup() override {
    write("one");
    watcher =
        std::make_shared<FileWatcher>(timers, path, seconds(2), [this](const std::string& content) {
          told = content;
          ++times;
        });
    watcher->start("one");
  }
  void teardown() override { std::remove(path.c_str()); }
  void write(const std::string& text) const {
    std::ofstream file(path, std::ios::trunc);
    file << text;
  }
};

TEST(FileWatcher, tellsAChangeOnce) {
  timers.advance(seconds(10));
  LONGS_EQUAL(0, times);
  write("two");
  timers.advance(seconds(10));
  LONGS_EQUAL(1, times);
  STRCMP_EQUAL("two", told.c_str());
}

TEST(FileWatcher, looksAtOnceWhenAsked) {
  write("two");
  watcher->check();
  LONGS_EQUAL(1, times);
}

TEST(FileWatcher, waitsForAFileThatIsBeingWritten) {
  write("");
  timers.advance(seconds(4));
  LONGS_EQUAL(0, times);
  write("two");
  timers.advance(seconds(4));
  LONGS_EQUAL(1, times);
}

// The settings are read, then the node starts to listen, and only then the file is watched.
TEST(FileWatcher, tellsAChangeThatWasMadeBeforeItBegan) {
  write("two");
  watcher->start("one");
  LONGS_EQUAL(1, times);
  STRCMP_EQUAL("two", told.c_str());
}
