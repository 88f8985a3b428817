#include "cli/log_losses.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <string_view>

#include "cli/log_refusal.h"

namespace gorsetrail::cli {
namespace {

constexpr std::uint64_t kMillisecondsPerSecond = 1000;

struct CauseOfReason {
  std::string_view reasonPrefix;
  std::string_view cause;
};
/// Maps reasons of `request_ended` lines to causes; the first matching prefix applies.
constexpr std::array<CauseOfReason, 35> kCauses = {{{"request_quarantined", "quarantine"},
                                                    {"store_not_answering", "store"},
                                                    {"reservation_unavailable", "store"},
                                                    {"history_unavailable", "store"},
                                                    {"turn_not_stored", "store"},
                                                    {"turn_memory_full", "store"},
                                                    {"request_exceeds_engine", "engine_memory"},
                                                    {"attempts_spent", "replica_failed"},
                                                    {"budget_spent", "budget_spent"},
                                                    {"replicas_busy", "no_place_at_replicas"},
                                                    {"replicas_full", "no_place_at_replicas"},
                                                    {"tenant_above_share", "tenant_share"},
                                                    {"program_not_admitted", "program_limit"},
                                                    {"region_not_allowed", "region"},
                                                    {"zones_evacuated", "evacuated"},
                                                    {"evacuations_unknown", "evacuated"},
                                                    {"replicas_cold", "replicas_cold"},
                                                    {"stream_", "stream_origin"},
                                                    {"software_version", "software_version"},
                                                    {"no_replica", "no_replica"},
                                                    {"no_connection", "replica_failed"},
                                                    {"replica", "replica_failed"},
                                                    {"resume", "replica_failed"},
                                                    {"deadline", "deadline"},
                                                    {"too_late_to_answer", "deadline"},
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

/// Cause of a refusal by its event and by the result of `classifyRefusal`.
struct CauseOfRefusal {
  std::string_view event;
  std::string_view meaning;
  std::string_view cause;
};
constexpr std::array<CauseOfRefusal, 12> kRefusalCauses = {
    {{"reservation_refused", "charged_for_dead", "budget_charged_for_dead"},
     {"reservation_refused", "turns_not_settled", "budget_turns_not_settled"},
     {"reservation_refused", "not_decided", "budget_not_decided"},
     {"reservation_refused", "no_answer", "budget_no_answer"},
     {"history_refused", "not_decided", "history_not_decided"},
     {"history_refused", "no_answer", "history_no_answer"},
     {"quota_unknown", "not_decided", "quota_undecided"},
     {"quota_unknown", "no_answer", "quota_no_answer"},
     {"placement_refused", "full_beside_room", "replica_full_beside_room"},
     {"placement_refused", "all_full", "no_place_at_replicas"},
     {"retry_withheld", "no_retry_token", "retry_budget"},
     {"placement_refused", "load_unknown", "load_unknown"}}};

std::string_view causeOfRefusal(const LogLine& line) {
  const std::string_view meaning = classifyRefusal(line);
  for (const CauseOfRefusal& known : kRefusalCauses) {
    if (known.event == line.event && known.meaning == meaning) {
      return known.cause;
    }
  }
  return {};
}

/// \return whether the line reports the end of one request or a count of such lines.
bool isRequestEnd(const LogLine& line) {
  return line.event == "request_ended" ||
         (line.event == "refusals_counted" && line.fieldOf("of") == "request_ended");
}

/// \return the number of requests that the line covers.
std::uint64_t requestCountOf(const LogLine& line) {
  return line.event == "refusals_counted" ? line.numberOf("count") : 1;
}

std::string causeOfEnd(const LogLine& line) {
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
    if (!line || line->fieldOf("program").empty()) {
      continue;
    }
    line->source = line->source.empty() ? source : line->source;
    if (isRequestEnd(*line)) {
      addEndedRequest(std::move(*line));
    } else if (const std::string_view cause = causeOfRefusal(*line); !cause.empty()) {
      refusalCauses_[{line->source, line->fieldOf("request")}] = cause;
    }
  }
}

std::string LogLosses::resolveCause(const LogLine& line) {
  const auto refused = refusalCauses_.find({line.source, line.fieldOf("request")});
  if (refused == refusalCauses_.end()) {
    return causeOfEnd(line);
  }
  const std::string cause(refused->second);
  refusalCauses_.erase(refused);
  return line.fieldOf("outcome") == "answered" ? causeOfEnd(line) : cause;
}

void LogLosses::addEndedRequest(LogLine line) {
  std::string cause = resolveCause(line);
  Program& program = programs_[line.fieldOf("program")];
  if (program.route.empty()) {
    program.route = line.fieldOf("route");
  }
  const std::uint64_t took = line.numberOf("took_ms");
  const std::uint64_t first = std::min(took, line.numberOf("first_event_ms"));
  const std::uint64_t dispatched = std::min(first, line.numberOf("dispatched_ms"));
  program.steps["late_before_dispatch"] += dispatched;
  program.steps["late_before_first_event"] += first - dispatched;
  program.steps["late_while_streaming"] += took - first;
  const std::string left = line.fieldOf("program_left_ms");
  if (left == "0" && !program.late) {
    program.late = true;
    program.lateAtMilliseconds = line.timeMilliseconds;
  }
  if (line.fieldOf("outcome") != "answered") {
    program.unanswered.push_back({std::move(line), std::move(cause)});
  }
}

LogLosses::Loss LogLosses::classifyLoss(const Program& program) {
  Loss loss;
  if (program.unanswered.empty()) {
    const auto longest = std::max_element(
        program.steps.begin(), program.steps.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    loss = {longest->first, program.route, program.lateAtMilliseconds, 0, longest->second};
    return loss;
  }
  const auto first =
      std::min_element(program.unanswered.begin(), program.unanswered.end(),
                       [](const Unanswered& left, const Unanswered& right) {
                         return left.line.timeMilliseconds < right.line.timeMilliseconds;
                       });
  const std::string route = first->line.fieldOf("route");
  loss = {first->cause, route.empty() ? program.route : route, first->line.timeMilliseconds, 0, 0};
  loss.isContinuation = !first->line.fieldOf("previous_turn").empty();
  for (const auto& [line, cause] : program.unanswered) {
    if (cause == loss.cause) {
      loss.requests += requestCountOf(line);
      loss.tookMilliseconds += line.numberOf("took_ms");
    }
  }
  return loss;
}

std::vector<LogLosses::Loss> LogLosses::losses() const {
  std::vector<Loss> all;
  for (const auto& [id, program] : programs_) {
    if (program.late || !program.unanswered.empty()) {
      all.push_back(classifyLoss(program));
    }
  }
  return all;
}

std::uint64_t LogLosses::lostProgramCount() const { return losses().size(); }

std::vector<LossGroup> LogLosses::groups() const {
  std::map<std::pair<std::string, std::string>, LossGroup> byCause;
  for (const Loss& loss : losses()) {
    LossGroup& group = byCause[{loss.cause, loss.route}];
    group.cause = loss.cause;
    group.route = loss.route;
    ++group.programs;
    group.continuedPrograms += loss.isContinuation ? 1 : 0;
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
