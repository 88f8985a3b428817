/// \file Classifies the log line of a refusal.
#pragma once

#include <string_view>

#include "cli/log_story.h"

namespace gorsetrail::cli {

/// Classifies the refusal line that an edge node writes before `request_ended`:
/// - `charged_for_dead`: the budget has room, but leases of dead processes may have used it;
/// - `not_decided`: a coordinator replied, but could not decide;
/// - `no_answer`: no coordinator replied;
/// - `full_beside_room`: the selected replica is full, and another has less load;
/// - `all_full`: no replica has less load than the full one;
/// - `replicas_ended`, `replicas_may_have_ended`: too many under earlier runs of the request;
/// - `no_retry_token`: replicas refused the request, and the retry budget withheld a further try.
/// \return the class; empty when the line is no such refusal.
std::string_view classifyRefusal(const LogLine& line);

}  // namespace gorsetrail::cli
