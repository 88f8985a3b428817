/// \file Runs many node cores in virtual time: ticks, delivery, pauses, deaths and restarts.
#pragma once

#include <deque>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "lab/sim/sim_context.h"
#include "lab/sim/site.h"
#include "node/core/node_core.h"

namespace gorsetrail::sim {

/// One node of the site, over all its lives.
struct SimNode {
  NodeId id;
  std::string zone;
  Incarnation incarnation;
  node::NodeCorePtr core;  ///< Null while the node is down.
  bool paused = false;
  bool stopping = false;
  Instant upSince;    ///< Start of this life, or end of its last pause.
  Instant busyUntil;  ///< Ticks are fine until then.
  std::uint64_t tickPlan = 0;
  std::deque<std::function<void()>> held;  ///< Deliveries during a pause.
  std::size_t bundleCursor = 0;            ///< Records of the `bundle` stream read so far.

  [[nodiscard]] bool running() const { return core != nullptr && !paused; }
};

/// Makes the core of one life; a mutant wraps the true one.
using CoreFactory = std::function<node::NodeCorePtr(node::NodeOptions)>;

class NodeHost {
 public:
  using Event = std::function<void(node::NodeCore&, Instant)>;
  using CommandHandler = std::function<void(SimNode&, node::NodeCommand&)>;
  using DownHandler = std::function<void(SimNode&)>;

  /// \param context outlives the host.
  NodeHost(SimContext& context, CoreFactory factory);

  /// Takes every command but those to peers.
  void onCommand(CommandHandler handler) { commandHandler_ = std::move(handler); }
  /// Called when a life ended, however it ended.
  void onDown(DownHandler handler) { downHandler_ = std::move(handler); }

  void startAll();
  /// Starts a new life with an empty memory.
  void start(NodeId id);
  void kill(NodeId id);
  void pause(NodeId id);
  void resume(NodeId id);

  /// Gives an event to a life of a node; one that is paused gets it later, one that is down never.
  void post(NodeId id, Incarnation life, const Event& event);
  /// The same, for whatever life is there; wakes the node to fine ticks.
  void post(NodeId id, const Event& event) { post(id, node(id).incarnation, event); }

  [[nodiscard]] SimNode& node(NodeId id) { return nodes_[id.value() - 1]; }
  [[nodiscard]] std::vector<SimNode>& nodes() { return nodes_; }
  [[nodiscard]] std::vector<NodeId> nodesIn(const std::string& zone) const;

 private:
  void run(SimNode& node, const Event& event);
  void drain(SimNode& node);
  void sendPeer(SimNode& from, node::SendPeerMessage& command);
  void planTick(SimNode& node, Duration after);
  void tick(NodeId id, Incarnation life, std::uint64_t plan);
  void wake(SimNode& node);

  SimContext& context_;
  CoreFactory factory_;
  CommandHandler commandHandler_;
  DownHandler downHandler_;
  std::vector<membership::Member> members_;
  std::vector<SimNode> nodes_;
};

}  // namespace gorsetrail::sim
