/// \file The callers' side of nodes: requests in, answers out, connections that break.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "lab/sim/node_host.h"

namespace gorsetrail::sim {

/// How a request to a node ended, as its caller sees it.
struct CallerReply {
  enum class Kind : std::uint8_t {
    Completed,
    Refused,
    Broken,  ///< Connection refused, reset, or the node died.
    Closed,  ///< A close request was done.
  };
  Kind kind = Kind::Broken;
  std::string answer;
  std::string chunks;  ///< Streamed text, concatenated.
  bool replayed = false;
  Error error;
  Instant saidAt;  ///< When the node said it, or its connection broke.
};

class CallerFront {
 public:
  using ReplyHandler = std::function<void(const CallerReply&)>;

  /// \param context, host outlive the front.
  CallerFront(SimContext& context, NodeHost& host) : context_(context), host_(host) {}

  /// Sends a call; `request.handle` is set here. The handler runs once, unless it is abandoned.
  CallHandle submit(NodeId node, engine::CallRequest request, ReplyHandler handler);
  CallHandle submitClose(NodeId node, const ProgramKey& key, ReplyHandler handler);
  /// The caller closes its connection.
  void abandon(CallHandle handle);

  /// Takes the commands of nodes that are for callers. \return whether it was one.
  bool onCommand(const SimNode& node, node::NodeCommand& command);
  void onNodeDown(const SimNode& node);
  /// A dispatch of that request began.
  void markDispatched(CallHandle handle);

  /// Notes which requests are in flight at a node that begins a planned stop.
  void beginStopWatch(NodeId node);
  /// \return requests whose answers the stop took away; ends the watch.
  std::size_t endStopWatch(NodeId node);

 private:
  struct Exchange {
    NodeId node;
    Incarnation life;
    ReplyHandler handler;
    std::string chunks;
    bool streamed = false;
    bool dispatched = false;
    bool inFlightAtStop = false;
  };

  CallHandle open(NodeId node, ReplyHandler handler);
  void connect(CallHandle handle, const NodeHost::Event& event);
  void end(CallHandle handle, CallerReply reply);
  void refuse(CallHandle handle, const Error& error);

  SimContext& context_;
  NodeHost& host_;
  std::uint64_t nextHandle_ = 1;
  std::map<CallHandle, Exchange> exchanges_;
  std::map<NodeId, std::size_t> cutOff_;
};

}  // namespace gorsetrail::sim
