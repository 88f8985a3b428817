#include "lab/faultsoak/node_processes.h"

#include <csignal>
#include <fstream>

namespace gorsetrail::lab {

std::optional<int> NodeProcesses::processId(std::size_t node) const {
  std::ifstream file(directory_ + "/node-" + std::to_string(node) + ".pid");
  int id = 0;
  return file >> id && id > 1 ? std::optional(id) : std::nullopt;
}

bool NodeProcesses::signal(std::size_t node, int signalNumber) const {
  const std::optional<int> id = processId(node);
  return id && ::kill(*id, signalNumber) == 0;
}

}  // namespace gorsetrail::lab
