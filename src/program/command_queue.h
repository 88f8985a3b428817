/// \file Commands of the program subsystem, gathered until the node takes them.
#pragma once

#include <utility>
#include <vector>

#include "program/program_service.h"

namespace gorsetrail::program {

/// Commands in the order in which they were decided.
class CommandQueue {
 public:
  void push(ProgramCommand command) { commands_.push_back(std::move(command)); }
  void send(NodeId to, JournalMessage message) { push(SendJournalMessage{to, std::move(message)}); }
  /// \return and clears the commands.
  std::vector<ProgramCommand> take() { return std::exchange(commands_, {}); }

 private:
  std::vector<ProgramCommand> commands_;
};

}  // namespace gorsetrail::program
