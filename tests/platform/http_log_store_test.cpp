// Guards the HTTP requests to the log store and the decoding of its responses.
#include "platform/http_log_store.h"

#include <optional>

#include "dispatch/fake_http_client.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::logstore;
using namespace gorsetrail::platform;

TEST_GROUP(HttpLogStore) {
  node::testing::FakeHttpClient client;
  HttpLogStore store{client, "10.200.1.7:8142"};
  std::optional<StoreResult<AppendReply>> appended;
  std::optional<StoreResult<ReadReply>> read;
  std::optional<StoreResult<NewestReply>> newest;

  void append() {
    store.append({{"work", 3}, {"ab", "c"}, seconds(1)},
                 [this](StoreResult<AppendReply> result) { appended = std::move(result); });
  }
  void readFrom(std::uint64_t start) {
    store.read({{"work", 3}, start, milliseconds(20), seconds(1)},
               [this](StoreResult<ReadReply> result) { read = std::move(result); });
  }
  void answer(unsigned status, const std::string& body) {
    client.last().handler.onDone({status, {}, body});
  }
};

TEST(HttpLogStore, encodesRecordsForAnAppend) {
  append();
  STRCMP_EQUAL("/v1/log-append?topic=work&part=3", client.last().request.target.c_str());
  CHECK(client.last().request.body == std::string("\0\0\0\2ab\0\0\0\1c", 11));
  answer(200, R"({"offset":840,"end":842})");
  LONGS_EQUAL(840, std::get<AppendReply>(*appended).offset);
}

TEST(HttpLogStore, readsRecords) {
  readFrom(840);
  STRCMP_EQUAL("/v1/log-read?topic=work&part=3&rangeStart=840&max_kb=256&waitMs=20",
               client.last().request.target.c_str());
  answer(200, std::string("\0\0\0\0\0\0\3\x4a\0\0\0\0\0\0\0\7\0\0\0\2ab\0\0\0\1c", 27));
  const auto& reply = std::get<ReadReply>(*read);
  LONGS_EQUAL(842, reply.end);
  LONGS_EQUAL(7, reply.firstKept);
  LONGS_EQUAL(2, reply.records.size());
  STRCMP_EQUAL("ab", reply.records[0].c_str());
}

TEST(HttpLogStore, treatsATruncatedRecordAsNoAnswer) {
  readFrom(0);
  answer(200, std::string("\0\0\0\0\0\0\0\1\0\0\0\0\0\0\0\0\0\0\0\5ab", 22));
  CHECK(std::get<StoreError>(*read).fault == StoreFault::NoAnswer);
}

TEST(HttpLogStore, listsTheNewestRecordOfEachKey) {
  store.listLatest({{"keyed.op", 0}, "a key/1", seconds(1)},
                   [this](StoreResult<NewestReply> result) { newest = std::move(result); });
  STRCMP_EQUAL("/v1/log-newest?topic=keyed.op&part=0&after=a%20key%2F1",
               client.last().request.target.c_str());
  answer(200,
         R"({"items":[{"privateKey":"config","value":"aGk=","offset":4}],"hasMore":true,"end":6})");
  const auto& reply = std::get<NewestReply>(*newest);
  STRCMP_EQUAL("hi", reply.items.front().value.c_str());
  CHECK_TRUE(reply.hasMore);
  LONGS_EQUAL(6, reply.end);
}

TEST(HttpLogStore, mapsStatusCodesToFaults) {
  const std::vector<std::pair<unsigned, StoreFault>> cases = {{429, StoreFault::Throttled},
                                                              {503, StoreFault::Busy},
                                                              {410, StoreFault::Compacted},
                                                              {400, StoreFault::Rejected}};
  for (const auto& [status, fault] : cases) {
    readFrom(0);
    answer(status, R"({"first":12})");
    CHECK(std::get<StoreError>(*read).fault == fault);
  }
  readFrom(0);
  client.last().fail(http::FailureStage::Broken);
  CHECK(std::get<StoreError>(*read).fault == StoreFault::NoAnswer);
}

TEST(HttpLogStore, readsTheFirstKeptOffsetAfterACompaction) {
  readFrom(0);
  answer(410, R"({"first":12})");
  LONGS_EQUAL(12, std::get<StoreError>(*read).firstKept);
}
