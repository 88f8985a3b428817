#include "lab/faultsoak/process_watch.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::lab {

void ProcessWatch::onLook(std::size_t node, const std::optional<ProcessLook>& look) {
  const int id = look ? look->id : 0;
  const int before = std::exchange(last_[node], id);
  if (before != 0 && before != id && !toldToEnd_.contains(before)) {
    add("a_process_ends_only_when_told_to", node, "process " + std::to_string(before));
  }
  if (!look) {
    return;
  }
  ++looks_;
  peakMemoryBytes_ = std::max(peakMemoryBytes_, look->memoryBytes);
  peakDescriptors_ = std::max(peakDescriptors_, look->descriptors);
  // Once for each process: the greatest memory of a process never falls.
  if (look->memoryBytes > bounds_.memoryBytes && reported_.insert({"memory", id}).second) {
    add("a_node_stays_within_its_memory", node, std::to_string(look->memoryBytes) + " bytes");
  }
  if (look->descriptors > bounds_.descriptors && reported_.insert({"descriptors", id}).second) {
    add("a_node_stays_within_its_descriptors", node, std::to_string(look->descriptors));
  }
}

void ProcessWatch::add(const std::string& promise, std::size_t node, const std::string& detail) {
  violations_.push_back({promise, "node " + std::to_string(node), detail});
}

std::vector<SoakViolation> ProcessWatch::takeViolations() { return std::exchange(violations_, {}); }

}  // namespace gorsetrail::lab
