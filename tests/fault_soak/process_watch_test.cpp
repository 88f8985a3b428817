#include "lab/faultsoak/process_watch.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail::lab;

TEST_GROUP(ProcessWatch) {
  ProcessWatch watch{{100, 10}, 2};

  std::string promises() {
    std::string all;
    for (const SoakViolation& violation : watch.takeViolations()) {
      all += violation.promise + "/" + violation.attempt + ";";
    }
    return all;
  }
};

TEST(ProcessWatch, aProcessThatWasToldToEndMayEnd) {
  watch.onLook(0, ProcessLook{11, 50, 5});
  watch.onToldToEnd(11);
  watch.onLook(0, std::nullopt);
  watch.onLook(0, ProcessLook{12, 50, 5});
  STRCMP_EQUAL("", promises().c_str());
}

TEST(ProcessWatch, anotherEndIsAViolation) {
  watch.onLook(1, ProcessLook{11, 50, 5});
  watch.onToldToEnd(12);
  watch.onLook(1, std::nullopt);
  STRCMP_EQUAL("a_process_ends_only_when_told_to/node 1;", promises().c_str());
}

TEST(ProcessWatch, anEndBetweenTwoLooksIsSeen) {
  watch.onLook(0, ProcessLook{11, 50, 5});
  watch.onLook(0, ProcessLook{12, 50, 5});
  STRCMP_EQUAL("a_process_ends_only_when_told_to/node 0;", promises().c_str());
}

TEST(ProcessWatch, boundsAreReportedOnceForEachProcess) {
  watch.onLook(0, ProcessLook{11, 100, 10});
  STRCMP_EQUAL("", promises().c_str());
  watch.onLook(0, ProcessLook{11, 101, 11});
  watch.onLook(0, ProcessLook{11, 102, 12});
  STRCMP_EQUAL("a_node_stays_within_its_memory/node 0;a_node_stays_within_its_descriptors/node 0;",
               promises().c_str());
  LONGS_EQUAL(3, watch.looks());
  LONGS_EQUAL(102, watch.peakMemoryBytes());
  LONGS_EQUAL(12, watch.peakDescriptors());
}
