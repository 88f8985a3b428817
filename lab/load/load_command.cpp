#include "lab/load/load_command.h"

namespace gorsetrail::load {

void addCommands(lab::CommandRegistry& /*registry*/) {}

}  // namespace gorsetrail::load
