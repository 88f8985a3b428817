/// \file Carries holds on engines' caches from nodes to engines, and the answers back.
#pragma once

#include "lab/sim/data_path.h"

namespace gorsetrail::sim {

class HoldPath {
 public:
  /// \param context, host, backends outlive the path.
  HoldPath(SimContext& context, NodeHost& host, DataPath& backends)
      : context_(context), host_(host), backends_(backends) {}

  /// Takes the commands of nodes about holds; others are ignored.
  void onCommand(const SimNode& node, const node::NodeCommand& command);

 private:
  using Answer = std::variant<engine::HoldResult, engine::HoldInventory>;
  using Order = std::function<Answer(SimBackend&)>;
  void carry(const SimNode& node, const std::string& backendName, const Order& order,
             const Answer& failure);
  void deliver(NodeId node, Incarnation life, const Answer& answer);

  SimContext& context_;
  NodeHost& host_;
  DataPath& backends_;
};

}  // namespace gorsetrail::sim
