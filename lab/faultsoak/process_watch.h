/// \file Whether node processes stay within their machines and end only when they are told to.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lab/faultsoak/soak_violation.h"

namespace gorsetrail::lab {

/// Bounds of one node's machine.
struct MachineBounds {
  std::size_t memoryBytes = 0;
  std::size_t descriptors = 0;
};

/// What one look shows of a process.
struct ProcessLook {
  int id = 0;
  std::size_t memoryBytes = 0;  ///< Greatest resident memory, and bytes that wait to be read.
  std::size_t descriptors = 0;
};

class ProcessWatch {
 public:
  ProcessWatch(MachineBounds bounds, std::size_t nodes) : bounds_(bounds), last_(nodes) {}

  /// The process was told to end, or killed.
  void onToldToEnd(int id) { toldToEnd_.insert(id); }
  /// \param look empty while no process of the node runs.
  void onLook(std::size_t node, const std::optional<ProcessLook>& look);
  [[nodiscard]] std::vector<SoakViolation> takeViolations();

  [[nodiscard]] std::uint64_t looks() const { return looks_; }
  [[nodiscard]] std::size_t peakMemoryBytes() const { return peakMemoryBytes_; }
  [[nodiscard]] std::size_t peakDescriptors() const { return peakDescriptors_; }

 private:
  void add(const std::string& promise, std::size_t node, const std::string& detail);

  MachineBounds bounds_;
  std::vector<int> last_;  ///< Id of the process seen last, by node; 0: none.
  std::set<int> toldToEnd_;
  std::set<std::pair<std::string, int>> reported_;
  std::vector<SoakViolation> violations_;
  std::uint64_t looks_ = 0;
  std::size_t peakMemoryBytes_ = 0;
  std::size_t peakDescriptors_ = 0;
};

}  // namespace gorsetrail::lab
