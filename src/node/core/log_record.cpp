#include "node/core/log_record.h"

#include <nlohmann/json.hpp>
#include <string_view>

namespace gorsetrail::node {
namespace {

using Json = nlohmann::json;

std::string_view statusName(program::CallStatus status) {
  switch (status) {
    case program::CallStatus::Completed:
      return "completed";
    case program::CallStatus::Failed:
      return "failed";
    case program::CallStatus::NotRun:
      return "not_run";
    case program::CallStatus::Unknown:
      return "unknown";
  }
  return "unknown";
}

Json bodyOf(const program::IntentEntry& intent) {
  return {{"call", intent.call.value()},       {"branch", intent.branch.value()},
          {"request", intent.request.toHex()}, {"content", intent.content.toHex()},
          {"repeatable", intent.repeatable},   {"reserved_tokens", intent.reservedTokens},
          {"messages", intent.messages}};
}

Json bodyOf(const program::OutcomeEntry& outcome) {
  return {{"call", outcome.call.value()},
          {"status", statusName(outcome.status)},
          {"used_tokens", outcome.usedTokens},
          {"used_ms", outcome.usedMilliseconds},
          {"answer", outcome.answer}};
}

Json bodyOf(const program::CloseEntry&) { return Json::object(); }

std::string_view kindOf(const program::EntryBody& body) {
  static constexpr std::string_view kKinds[] = {"intent", "outcome", "close"};
  return kKinds[body.index()];
}

}  // namespace

std::string encodeLogEntry(const ProgramKey& key, const program::JournalEntry& entry) {
  const Json body = std::visit([](const auto& kind) { return bodyOf(kind); }, entry.body);
  const Json json = {{"zone", key.homeZone},
                     {"tenant", key.tenant},
                     {"program", key.name},
                     {"sequence", entry.sequence.value()},
                     {"epoch", entry.epoch.value()},
                     {"kind", kindOf(entry.body)},
                     {"body", body}};
  // Text that is not UTF-8 must not end the process: it is replaced in the log's copy.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string encodeLogRecord(NodeId writer, Incarnation incarnation, std::uint64_t sequence,
                            const std::vector<std::string>& encodedEntries) {
  std::string record = "{\"writer\":" + std::to_string(writer.value()) +
                       ",\"incarnation\":" + std::to_string(incarnation.value()) +
                       ",\"sequence\":" + std::to_string(sequence) + ",\"entries\":[";
  for (std::size_t position = 0; position < encodedEntries.size(); ++position) {
    record += position == 0 ? "" : ",";
    record += encodedEntries[position];
  }
  return record + "]}";
}

}  // namespace gorsetrail::node
