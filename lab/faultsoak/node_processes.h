/// \file Signals to the node processes of a soak, which a script started and starts again.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace gorsetrail::lab {

/// Finds processes by the files that the script keeps: `node-N.pid` holds the id of the process
/// that runs now, and is removed when it has ended. Only these processes are ever signalled.
class NodeProcesses {
 public:
  explicit NodeProcesses(std::string directory) : directory_(std::move(directory)) {}

  /// \return whether the node runs and took the signal.
  [[nodiscard]] bool signal(std::size_t node, int signalNumber) const;
  [[nodiscard]] bool runs(std::size_t node) const { return processId(node).has_value(); }
  /// \return the id of the node's process; empty while none runs.
  [[nodiscard]] std::optional<int> processId(std::size_t node) const;

 private:
  std::string directory_;
};

}  // namespace gorsetrail::lab
