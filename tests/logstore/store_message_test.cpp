// Guards against fields lost in encoding, and against accepting malformed messages.
#include "logstore/store_message.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::logstore;

TEST_GROUP(StoreMessage){};

TEST(StoreMessage, requestsKeepTheirFields) {
  const std::string binary("\0\xff\n", 3);
  const auto append =
      decodeStoreCall(encodeStoreCall(AppendRequest{{"t", 5}, {"one", binary}, milliseconds(7)}));
  const auto& appended = std::get<AppendRequest>(valueOf(append));
  STRCMP_EQUAL("t", appended.partition.topic.c_str());
  LONGS_EQUAL(5, appended.partition.partition);
  LONGS_EQUAL(2, appended.records.size());
  CHECK(appended.records[1] == binary);
  CHECK(appended.timeLimit == milliseconds(7));
  const auto read =
      decodeStoreCall(encodeStoreCall(ReadRequest{{"t", 1}, 99, milliseconds(3), milliseconds(8)}));
  LONGS_EQUAL(99, std::get<ReadRequest>(valueOf(read)).start);
  CHECK(std::get<ReadRequest>(valueOf(read)).wait == milliseconds(3));
  const auto newest =
      decodeStoreCall(encodeStoreCall(NewestRequest{{"t", 1}, "after", milliseconds(8)}));
  STRCMP_EQUAL("after", std::get<NewestRequest>(valueOf(newest)).afterKey.c_str());
}

TEST(StoreMessage, repliesKeepTheirFields) {
  const auto append = decodeAppendReply(encodeStoreReply(AppendReply{4, 6}));
  LONGS_EQUAL(6, std::get<AppendReply>(append).end);
  const auto read = decodeReadReply(encodeStoreReply(ReadReply{9, 2, {"a", "b"}, std::nullopt}));
  LONGS_EQUAL(2, std::get<ReadReply>(read).records.size());
  LONGS_EQUAL(2, std::get<ReadReply>(read).firstKept);
  const auto newest = decodeNewestReply(encodeStoreReply(NewestReply{{{"k", "v", 3}}, true, 8}));
  CHECK_TRUE(std::get<NewestReply>(newest).hasMore);
  STRCMP_EQUAL("v", std::get<NewestReply>(newest).items.front().value.c_str());
}

TEST(StoreMessage, errorsAreDecodedAsErrors) {
  const auto reply =
      decodeReadReply(encodeStoreReply(StoreError{StoreFault::Compacted, "410", 12}));
  CHECK(std::get<StoreError>(reply).fault == StoreFault::Compacted);
  LONGS_EQUAL(12, std::get<StoreError>(reply).firstKept);
}

TEST(StoreMessage, rejectsMalformedMessages) {
  const std::string whole = encodeStoreCall(AppendRequest{{"t", 5}, {"one"}, milliseconds(7)});
  for (std::size_t length = 0; length < whole.size(); length += 3) {
    CHECK_FALSE(succeeded(decodeStoreCall(whole.substr(0, length))));
  }
  CHECK(std::get<StoreError>(decodeAppendReply("nonsense")).fault == StoreFault::NoAnswer);
}
