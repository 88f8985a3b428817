#include "node/core/log_writer.h"

#include <nlohmann/json.hpp>

// Last, since it redefines operator new.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::node;

namespace {

constexpr Instant kStart{seconds(100)};

program::AppendToLog entryOf(std::uint64_t sequence, const std::string& zone = "hall-1") {
  program::AppendToLog command;
  command.key = {zone, "press-a", "order-17"};
  command.program = programIdOf(command.key);
  program::OutcomeEntry outcome;
  outcome.call = CallNumber(3);
  outcome.status = program::CallStatus::Completed;
  outcome.answer = "fine \xff";  // Not UTF-8.
  program::JournalEntry& entry = command.entries.emplace_back();
  entry.sequence = SequenceNumber(sequence);
  entry.epoch = Epoch(2);
  entry.body = outcome;
  return command;
}

}  // namespace

TEST_GROUP(LogWriter){};

TEST(LogWriter, BatchesTheEntriesOfAZoneIntoOneRecord) {
  LogWriter writer(NodeId(4), Incarnation(9), 1);
  writer.add(entryOf(1));
  writer.add(entryOf(2));
  writer.add(entryOf(1, "hall-2"));
  const auto append = writer.takeDue(kStart);
  CHECK(append.has_value());
  STRCMP_EQUAL("journal-hall-1", append->stream.c_str());
  const auto record = nlohmann::json::parse(append->record);
  CHECK_EQUAL(4, record["writer"].get<int>());
  CHECK_EQUAL(append->sequence, record["sequence"].get<std::uint64_t>());
  CHECK_EQUAL(2U, record["entries"].size());
  STRCMP_EQUAL("completed", record["entries"][1]["body"]["status"].get<std::string>().c_str());
  CHECK(!writer.takeDue(kStart + seconds(1)).has_value());  // One at a time.
}

TEST(LogWriter, SendsTheSameRecordAgainWhenTheLogWasDown) {
  LogWriter writer(NodeId(4), Incarnation(9), 1);
  writer.add(entryOf(1));
  const auto first = writer.takeDue(kStart);
  writer.onAppended(first->sequence, false, kStart);
  CHECK(writer.isFailing());
  CHECK(!writer.takeDue(kStart).has_value());
  const auto second = writer.takeDue(kStart + seconds(1));
  CHECK(second.has_value());
  CHECK_EQUAL(first->sequence, second->sequence);
  STRCMP_EQUAL(first->record.c_str(), second->record.c_str());
  writer.onAppended(second->sequence, true, kStart + seconds(1));
  CHECK(writer.isEmpty());
  CHECK_EQUAL(1U, writer.entriesAppended());
}

TEST(LogWriter, SendsAgainWhenNoAnswerCame) {
  LogWriter writer(NodeId(4), Incarnation(9), 1);
  writer.add(entryOf(1));
  const auto first = writer.takeDue(kStart);
  writer.takeDue(kStart + seconds(30));
  const auto second = writer.takeDue(kStart + seconds(31));
  CHECK(second.has_value());
  CHECK_EQUAL(first->sequence, second->sequence);
}

TEST(LogWriter, QueueIsBoundedAndDropsTheOldestWhileTheLogIsDown) {
  LogKnobs knobs;
  knobs.maximumQueuedBytes = 2000;
  LogWriter writer(NodeId(4), Incarnation(9), 1, knobs);
  for (std::uint64_t sequence = 1; sequence <= 100; ++sequence) {
    writer.add(entryOf(sequence));
  }
  CHECK(writer.queuedBytes() <= 2000);
  CHECK(writer.entriesDropped() > 50);
  const auto record = nlohmann::json::parse(writer.takeDue(kStart)->record);
  CHECK_EQUAL(100, record["entries"].back()["sequence"].get<int>());
}

TEST(LogWriter, TakesItsTimeAfterAnOutage) {
  LogKnobs knobs;
  knobs.maximumRecordBytes = 300;
  LogWriter writer(NodeId(4), Incarnation(9), 1, knobs);
  for (std::uint64_t sequence = 1; sequence <= 10; ++sequence) {
    writer.add(entryOf(sequence));
  }
  writer.onAppended(writer.takeDue(kStart)->sequence, false, kStart);
  const Instant back = kStart + seconds(10);
  writer.onAppended(writer.takeDue(back)->sequence, true, back);
  CHECK(!writer.takeDue(back + knobs.batchInterval).has_value());
  CHECK(writer.takeDue(back + knobs.catchUpInterval).has_value());
}
