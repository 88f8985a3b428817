#include "cli/log_refusal.h"

#include <string>

namespace gorsetrail::cli {
namespace {

constexpr std::string_view kChargedForDead = "charged_for_dead";
constexpr std::string_view kNotDecided = "not_decided";
constexpr std::string_view kNoAnswer = "no_answer";

std::string_view classifyReservationRefusal(const LogLine& line) {
  const std::string reason = line.fieldOf("reason");
  if (reason == "unseen_spending") {
    return kChargedForDead;
  }
  if (reason == "unsettled_turns") {
    return "turns_not_settled";
  }
  return reason == "no_answer" ? kNoAnswer : kNotDecided;
}

// A reply older than the wait belongs to an earlier request.
std::string_view classifyQuotaRefusal(const LogLine& line) {
  const bool everAnswered = !line.fieldOf("last_answer_ms").empty();
  const bool answeredMeanwhile =
      everAnswered && line.numberOf("last_answer_ms") <= line.numberOf("waited_ms");
  return answeredMeanwhile ? kNotDecided : kNoAnswer;
}

std::string_view classifyProgramRefusal(const LogLine& line) {
  const std::string cause = line.fieldOf("decided_by");
  if (cause == "own_requests") {
    return "load_unknown";
  }
  return cause == "pace" ? "room_used_up" : "service_full";
}

std::string_view classifyPlacementRefusal(const LogLine& line) {
  if (line.fieldOf("reason") == "program_not_admitted") {
    return classifyProgramRefusal(line);
  }
  const bool hasRoomElsewhere = line.numberOf("least_load_percent") < line.numberOf("load_percent");
  return hasRoomElsewhere ? "full_beside_room" : "all_full";
}

std::string_view classifyStreamRefusal(const LogLine& line) {
  const std::string reason = line.fieldOf("reason");
  if (reason == "stream_origin_conflicting") {
    return "records_disagree";
  }
  if (reason != "stream_origin_unknown") {
    return reason == "stream_service_gone" ? "service_gone" : "version_gone";
  }
  if (line.fieldOf("resumes").empty()) {
    return "stream_not_named";
  }
  return line.numberOf("answered_nodes") < line.numberOf("asked_nodes") ? kNoAnswer : "no_record";
}

}  // namespace

std::string_view classifyRefusal(const LogLine& line) {
  if (line.event == "reservation_refused") {
    return classifyReservationRefusal(line);
  }
  if (line.event == "history_refused") {
    return line.fieldOf("coordinator_lives") == "1" ? kNotDecided : kNoAnswer;
  }
  if (line.event == "quota_unknown") {
    return classifyQuotaRefusal(line);
  }
  if (line.event == "placement_refused") {
    return classifyPlacementRefusal(line);
  }
  if (line.event == "retry_withheld") {
    return "no_retry_token";
  }
  if (line.event == "stream_not_continued") {
    return classifyStreamRefusal(line);
  }
  if (line.event == "request_quarantined") {
    return line.fieldOf("retry_ms").empty() ? "replicas_ended" : "replicas_may_have_ended";
  }
  if (line.event == "tenant_share_refused") {
    return "above_share";
  }
  return {};
}

}  // namespace gorsetrail::cli
