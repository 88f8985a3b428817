#include "cli/log_losses.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <string_view>

namespace gorsetrail::cli {
namespace {

constexpr std::uint64_t kMillisecondsPerSecond = 1000;

struct CauseOfReason {
  std::string_view reasonPrefix;
  std::string_view cause;
};
/// Reasons of `request_ended` lines by what an operator looks at; the first prefix that fits
/// counts.
constexpr std::array<CauseOfReason, 29> kCauses = {{{"store_not_answering", "store"},
                                                    {"reservation_unavailable", "store"},
                                                    {"history_unavailable", "store"},
                                                    {"turn_not_stored", "store"},
                                                    {"turn_memory_full", "store"},
                                                    {"request_exceeds_engine", "engine_memory"},
                                                    {"attempts_spent", "replica_failed"},
                                                    {"budget_spent", "budget_spent"},
                                                    {"replicas_busy", "no_place_at_replicas"},
                                                    {"replicas_full", "no_place_at_replicas"},
                                                    {"region_not_allowed", "region"},
                                                    {"zones_evacuated", "evacuated"},
                                                    {"evacuations_unknown", "evacuated"},
                                                    {"replicas_cold", "replicas_cold"},
                                                    {"no_replica", "no_replica"},
                                                    {"no_connection", "replica_failed"},
                                                    {"replica", "replica_failed"},
                                                    {"resume", "replica_failed"},
                                                    {"deadline", "deadline"},
                                                    {"stopping", "node_stopping"},
                                                    {"no_configuration", "configuration"},
                                                    {"configuration", "configuration"},
                                                    {"no_route", "configuration"},
                                                    {"unknown_turn", "unknown_turn"},
                                                    {"over_quota", "over_quota"},
                                                    {"quota_unknown", "quota_undecided"},
                                                    {"unknown_key", "key"},
                                                    {"no_key", "key"},
                                                    {"conflicting_headers", "malformed"}}};

std::uint64_t numberOf(const LogLine& line, std::string_view key) {
  const std::string text = line.fieldOf(key);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::string causeOf(const LogLine& line) {
  const std::string outcome = line.fieldOf("outcome");
  if (outcome == "client_gone") {
    return "client_gone";
  }
  if (outcome == "answered_failure") {
    return "replica_answered_failure";
  }
  const std::string reason = line.fieldOf("reason");
  for (const CauseOfReason& known : kCauses) {
    if (reason.starts_with(known.reasonPrefix)) {
      return std::string(known.cause);
    }
  }
  return "other";
}

}  // namespace

void LogLosses::read(std::istream& lines, const std::string& source) {
  for (std::string text; std::getline(lines, text);) {
    std::optional<LogLine> line = parseLogLine(text);
    if (line && line->event == "request_ended" && !line->fieldOf("program").empty()) {
      line->source = line->source.empty() ? source : line->source;
      take(std::move(*line));
    }
  }
}

void LogLosses::take(LogLine line) {
  Program& program = programs_[line.fieldOf("program")];
  if (program.route.empty()) {
    program.route = line.fieldOf("route");
  }
  const std::uint64_t took = numberOf(line, "took_ms");
  const std::uint64_t first = std::min(took, numberOf(line, "first_event_ms"));
  const std::uint64_t dispatched = std::min(first, numberOf(line, "dispatched_ms"));
  program.steps["late_before_dispatch"] += dispatched;
  program.steps["late_before_first_event"] += first - dispatched;
  program.steps["late_while_streaming"] += took - first;
  const std::string left = line.fieldOf("program_left_ms");
  if (left == "0" && !program.late) {
    program.late = true;
    program.lateAt = line.timeMilliseconds;
  }
  if (line.fieldOf("outcome") != "answered") {
    program.unanswered.push_back(std::move(line));
  }
}

LogLosses::Loss LogLosses::lossOf(const Program& program) {
  Loss loss;
  if (program.unanswered.empty()) {
    const auto longest = std::max_element(
        program.steps.begin(), program.steps.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    loss = {longest->first, program.route, program.lateAt, 0, longest->second};
    return loss;
  }
  const auto first = std::min_element(program.unanswered.begin(), program.unanswered.end(),
                                      [](const LogLine& left, const LogLine& right) {
                                        return left.timeMilliseconds < right.timeMilliseconds;
                                      });
  loss = {causeOf(*first), first->fieldOf("route"), first->timeMilliseconds, 0, 0};
  for (const LogLine& line : program.unanswered) {
    if (causeOf(line) == loss.cause) {
      ++loss.requests;
      loss.tookMilliseconds += numberOf(line, "took_ms");
    }
  }
  return loss;
}

std::vector<LogLosses::Loss> LogLosses::losses() const {
  std::vector<Loss> all;
  for (const auto& [id, program] : programs_) {
    if (program.late || !program.unanswered.empty()) {
      all.push_back(lossOf(program));
    }
  }
  return all;
}

std::uint64_t LogLosses::programsLost() const { return losses().size(); }

std::vector<LossGroup> LogLosses::groups() const {
  std::map<std::pair<std::string, std::string>, LossGroup> byCause;
  for (const Loss& loss : losses()) {
    LossGroup& group = byCause[{loss.cause, loss.route}];
    group.cause = loss.cause;
    group.route = loss.route;
    ++group.programs;
    group.requests += loss.requests;
    group.tookMilliseconds += loss.tookMilliseconds;
  }
  std::vector<LossGroup> groups;
  groups.reserve(byCause.size());
  for (auto& [key, group] : byCause) {
    groups.push_back(std::move(group));
  }
  std::stable_sort(groups.begin(), groups.end(), [](const LossGroup& left, const LossGroup& right) {
    return left.programs > right.programs;
  });
  return groups;
}

std::vector<LossSecond> LogLosses::seconds() const {
  std::map<std::pair<std::uint64_t, std::string>, std::uint64_t> counts;
  for (const Loss& loss : losses()) {
    ++counts[{loss.at / kMillisecondsPerSecond, loss.cause}];
  }
  std::vector<LossSecond> seconds;
  seconds.reserve(counts.size());
  for (const auto& [key, programs] : counts) {
    seconds.push_back({key.first, key.second, programs});
  }
  return seconds;
}

}  // namespace gorsetrail::cli
