/// \file One connection from a node to a back end, as the simulated HTTP client sees it.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "engine/call_interface.h"
#include "lab/sim/sim_context.h"

namespace gorsetrail::sim {

/// Carries what a back end says back to the node; silent once it ended.
class DispatchConnection {
 public:
  using Deliver = std::function<void(const engine::DispatchEvent&)>;

  /// \param context outlives the connection. `deliver` hands an event to the node's core.
  DispatchConnection(SimContext& context, std::string nodeZone, std::string backendZone,
                     AttemptNumber attempt, Deliver deliver)
      : context_(context),
        nodeZone_(std::move(nodeZone)),
        backendZone_(std::move(backendZone)),
        attempt_(attempt),
        deliver_(std::move(deliver)) {}

  [[nodiscard]] AttemptNumber attempt() const { return attempt_; }
  [[nodiscard]] bool isOpen() const { return open_; }
  /// Says something that is not the end.
  void send(const engine::DispatchEvent& event);
  /// Says the last thing.
  void finish(const engine::DispatchEvent& event);
  /// The node closed its end.
  void close() { open_ = false; }
  [[nodiscard]] bool reachable() const {
    return context_.network.reachable(nodeZone_, backendZone_);
  }

 private:
  bool breakIfCut();

  SimContext& context_;
  std::string nodeZone_;
  std::string backendZone_;
  AttemptNumber attempt_;
  Deliver deliver_;
  bool open_ = true;
};
using ConnectionPtr = std::shared_ptr<DispatchConnection>;

}  // namespace gorsetrail::sim
