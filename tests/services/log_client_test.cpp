#include "services/log_client.h"

#include <optional>

#include "dispatch/fake_http_client.h"
#include "services/manual_timers.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using http::FailureStage;

TEST_GROUP(LogClient) {
  node::testing::FakeHttpClient client;
  services::testing::ManualTimers timers;
  services::LogClient log{client, "127.0.0.1:1"};
  std::vector<std::pair<std::uint64_t, bool>> answers;
  std::vector<std::string> records;

  void answer(unsigned status, std::string body) {
    client.last().handler.onDone({status, {}, std::move(body)});
  }
  Result<services::LogPage> readWith(unsigned status, const std::string& body) {
    std::optional<Result<services::LogPage>> result;
    log.read("bundle", LogOffset(5), 10,
             [&result](Result<services::LogPage> page) { result = std::move(page); });
    answer(status, body);
    return *result;
  }
  services::LogFollower makeFollower() {
    return {log,
            timers,
            "bundle",
            LogOffset(0),
            services::Pace{},
            1,
            [this](const services::LogRecord& record) { records.push_back(record.data); }};
  }
  services::LogWriter makeWriter(services::LogWriterLimits limits = {}) {
    return {log,
            timers,
            services::Pace{},
            1,
            limits,
            [this](std::uint64_t sequence, bool taken) {
              answers.emplace_back(sequence, taken); }};
  }
};

TEST(LogClient, ReadsAPage) {
  const auto page =
      readWith(200, R"({"records":[{"offset":5,"data":"aGk="},{"offset":7,"data":""}],"next":8})");
  CHECK(succeeded(page));
  LONGS_EQUAL(2, valueOf(page).records.size());
  STRCMP_EQUAL("hi", valueOf(page).records[0].data.c_str());
  LONGS_EQUAL(8, valueOf(page).next.value());
  STRCMP_EQUAL("/v1/streams/bundle/records?from=5&max=10", client.last().request.target.c_str());
}

TEST(LogClient, UnreadablePagesAreTypedErrors) {
  for (const char* body :
       {"", "[]", "{}", R"({"records":[],"next":4})", R"({"records":[{}],"next":9})",
        R"({"records":[{"offset":4,"data":""}],"next":9})",
        R"({"records":[{"offset":9,"data":""}],"next":9})",
        R"({"records":[{"offset":6,"data":""},{"offset":6,"data":""}],"next":9})",
        R"({"records":[{"offset":6,"data":"*"}],"next":9})", R"({"records":[6],"next":9})",
        R"({"records":[],"next":-1})"}) {
    const auto page = readWith(200, body);
    CHECK_FALSE(succeeded(page));
    CHECK(errorOf(page).kind == ErrorKind::PlatformUnavailable);
  }
  CHECK_FALSE(succeeded(readWith(404, R"({"records":[],"next":9})")));
}

TEST(LogClient, FailedAppendSaysWhetherItMayStand) {
  std::vector<RunOutcome> outcomes;
  const auto append = [this, &outcomes] {
    log.append("s", "r", [&outcomes](const Result<LogOffset>& result) {
      outcomes.push_back(errorOf(result).outcome);
    });
  };
  append();
  answer(503, "");
  append();
  answer(500, "");
  append();
  client.last().fail(FailureStage::NotSent);
  append();
  client.last().fail(FailureStage::Broken);
  append();
  answer(200, "no offset");
  const std::vector<RunOutcome> wanted = {RunOutcome::NotRun, RunOutcome::OutcomeUnknown,
                                          RunOutcome::NotRun, RunOutcome::OutcomeUnknown,
                                          RunOutcome::OutcomeUnknown};
  CHECK(outcomes == wanted);
}

TEST(LogClient, TooLongRecordIsNotSent) {
  std::optional<ErrorKind> kind;
  log.append("s", std::string(services::kMaximumRecordBytes + 1, 'x'),
             [&kind](const Result<LogOffset>& result) { kind = errorOf(result).kind; });
  CHECK(kind == ErrorKind::RequestTooLarge);
  LONGS_EQUAL(0, client.exchanges.size());
}

TEST(LogClient, FollowerGoesOnWhereItStopped) {
  services::LogFollower follower = makeFollower();
  follower.start();
  answer(200, R"({"records":[{"offset":0,"data":"YQ=="},{"offset":1,"data":"Yg=="}],"next":2})");
  timers.fireFirst();
  answer(503, "");
  LONGS_EQUAL(1, follower.failures());
  timers.fireFirst();
  STRCMP_EQUAL("/v1/streams/bundle/records?from=2&max=100", client.last().request.target.c_str());
  answer(200, R"({"records":[{"offset":2,"data":"Yw=="}],"next":3})");
  LONGS_EQUAL(3, records.size());
  STRCMP_EQUAL("c", records[2].c_str());
  LONGS_EQUAL(3, follower.position().value());
}

TEST(LogClient, FollowerHandsOverNothingAfterItsEnd) {
  {
    services::LogFollower follower = makeFollower();
    follower.start();
  }
  answer(200, R"({"records":[{"offset":0,"data":"YQ=="}],"next":1})");
  LONGS_EQUAL(0, records.size());
  LONGS_EQUAL(0, timers.pending.size());
}

TEST(LogClient, WriterAppendsInOrderAndRepeatsWhatFailed) {
  services::LogWriter writer = makeWriter();
  writer.append("s", 1, "one");
  writer.append("s", 2, "two");
  LONGS_EQUAL(1, client.exchanges.size());
  client.last().fail(FailureStage::Broken);
  LONGS_EQUAL(1, client.exchanges.size());  // Only after the pause.
  writer.append("s", 3, "three");
  LONGS_EQUAL(1, client.exchanges.size());
  timers.fireFirst();
  STRCMP_EQUAL("one", client.last().request.body.c_str());
  for (int record = 0; record < 3; ++record) {
    answer(200, R"({"offset":1})");
  }
  const std::vector<std::pair<std::uint64_t, bool>> wanted = {{1, true}, {2, true}, {3, true}};
  CHECK(answers == wanted);
  LONGS_EQUAL(4, client.exchanges.size());
  LONGS_EQUAL(0, writer.waitingBytes());
}

TEST(LogClient, WriterRefusesWhatDoesNotFit) {
  services::LogWriter writer = makeWriter({.records = 2, .bytes = 10});
  writer.append("s", 1, "12345");
  writer.append("s", 2, "123456");
  writer.append("s", 3, "12345");
  writer.append("s", 4, "");
  const std::vector<std::pair<std::uint64_t, bool>> wanted = {{2, false}, {4, false}};
  CHECK(answers == wanted);
  LONGS_EQUAL(2, writer.waiting());
}
