/// \file What the line of a refusal says, in one word.
#pragma once

#include <string_view>

#include "cli/log_story.h"

namespace gorsetrail::cli {

/// What refused a request, told by the line that an edge node writes before `request_ended`:
/// - `charged_for_dead`: the budget has room, but leases of dead processes may have spent it;
/// - `not_decided`: a coordinator replied, and could not decide;
/// - `no_answer`: no coordinator replied;
/// - `full_beside_room`: the replica that was judged is full, and another has less load;
/// - `all_full`: no replica has less load than the full one.
/// \return the word; empty when the line is none of these.
std::string_view refusalMeaning(const LogLine& line);

}  // namespace gorsetrail::cli
