/// \file The text whose blocks a simulated engine keeps in its prefix cache.
#pragma once

#include <string>

#include "engine/call_interface.h"

namespace gorsetrail::sim {

/// \return model, adapter and messages in canonical form, then the answer as the next message; the
/// form that docs/STANDINS.md states. Without the answer it is the prompt.
std::string cachedTextOf(const engine::StartDispatch& command, const std::string& answer);

}  // namespace gorsetrail::sim
