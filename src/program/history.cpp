#include "program/history.h"

#include <cstring>
#include <nlohmann/json.hpp>
#include <unordered_map>

namespace gorsetrail::program {
namespace {

using Json = nlohmann::json;

/// Members without a value say nothing: clients add `"tool_calls": null` and the like on return.
std::string canonicalMessage(Json message) {
  if (message.is_object()) {
    for (auto member = message.begin(); member != message.end();) {
      member = member->is_null() ? message.erase(member) : std::next(member);
    }
  }
  return message.dump(-1, ' ', false, Json::error_handler_t::replace);
}

ContentDigest chained(const ContentDigest& chain, const Json& message) {
  std::string text(reinterpret_cast<const char*>(chain.bytes.data()), chain.bytes.size());
  text += canonicalMessage(message);
  return contentDigestOf(text);
}

Json answerMessage(std::string_view answer) {
  return Json{{"role", "assistant"}, {"content", std::string(answer)}};
}

Error notAnArray() {
  return Error{ErrorKind::InvalidField, "messages", "is not a JSON array",
               "send the messages as an array of objects with role and content",
               RunOutcome::NotRun};
}

Error mismatch(std::size_t known) {
  return Error{ErrorKind::HistoryMismatch, "messages",
               "the first " + std::to_string(known) +
                   " messages are not the turns that this program has acknowledged",
               "read the history with GET /v1/programs/NAME and send it first, or give a "
               "sub-agent its own Gorsetrail-Program under Gorsetrail-Parent",
               RunOutcome::NotRun};
}

}  // namespace

Result<std::string> BranchHistory::additionOf(std::string_view messages) const {
  const Json parsed = Json::parse(messages, nullptr, false);
  if (!parsed.is_array()) {
    return notAnArray();
  }
  if (parsed.size() < size_) {
    return mismatch(size_);
  }
  ContentDigest chain;
  for (std::size_t index = 0; index < size_; ++index) {
    chain = chained(chain, parsed[index]);
  }
  if (chain != chain_) {
    return mismatch(size_);
  }
  Json added = Json::array();
  for (std::size_t index = size_; index < parsed.size(); ++index) {
    added.push_back(parsed[index]);
  }
  return added.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void BranchHistory::extend(std::string_view addedMessages, std::string_view answer) {
  const Json added = Json::parse(addedMessages, nullptr, false);
  if (added.is_array()) {
    for (const Json& message : added) {
      chain_ = chained(chain_, message);
      ++size_;
    }
  }
  chain_ = chained(chain_, answerMessage(answer));
  ++size_;
}

BranchId branchIdOf(std::string_view branchPath) {
  if (branchPath.empty()) {
    return BranchId{};
  }
  const ContentDigest digest = contentDigestOf(branchPath);
  std::uint64_t number = 0;
  std::memcpy(&number, digest.bytes.data(), sizeof(number));
  return BranchId(number == 0 ? 1 : number);
}

std::string renderHistory(const std::vector<JournalEntry>& entries, BranchId branch) {
  std::unordered_map<CallNumber, const IntentEntry*> intents;
  Json history = Json::array();
  for (const JournalEntry& entry : entries) {
    if (const auto* intent = std::get_if<IntentEntry>(&entry.body)) {
      intents[intent->call] = intent;
      continue;
    }
    const auto* outcome = std::get_if<OutcomeEntry>(&entry.body);
    if (outcome == nullptr || outcome->status != CallStatus::Completed) {
      continue;
    }
    const auto intent = intents.find(outcome->call);
    if (intent == intents.end() || intent->second->branch != branch ||
        !intent->second->repeatable) {
      continue;
    }
    const Json added = Json::parse(intent->second->messages, nullptr, false);
    for (const Json& message : added) {
      history.push_back(message);
    }
    history.push_back(answerMessage(outcome->answer));
  }
  return history.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace gorsetrail::program
