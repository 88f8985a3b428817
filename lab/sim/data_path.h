/// \file Carries dispatches from nodes to back ends and their events back.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/sim/node_host.h"
#include "lab/sim/sim_backend.h"

namespace gorsetrail::sim {

class DataPath {
 public:
  /// \param context, host outlive the path.
  DataPath(SimContext& context, NodeHost& host);

  void start(const SimNode& node, const engine::StartDispatch& command);
  void cancel(const SimNode& node, const engine::CancelDispatch& command);
  void onNodeDown(const SimNode& node);
  /// Gives a node the load reports that it observes itself.
  void reportTo(SimNode& node);

  [[nodiscard]] SimBackend* find(const std::string& name);
  [[nodiscard]] const std::vector<std::unique_ptr<SimBackend>>& backends() const {
    return backends_;
  }

 private:
  struct Key {
    NodeId node;
    DispatchId dispatch;
    auto operator<=>(const Key&) const = default;  // NOLINT(modernize-use-nullptr)
  };

  SimContext& context_;
  NodeHost& host_;
  std::vector<std::unique_ptr<SimBackend>> backends_;
  std::map<std::string, SimBackend*> byName_;
  std::map<Key, ConnectionPtr> open_;
};

}  // namespace gorsetrail::sim
