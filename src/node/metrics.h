/// \file The node's figures in Prometheus' text format.
#pragma once

#include <memory>
#include <string>

#include "http/http_server.h"
#include "node/backend_dispatcher.h"
#include "node/core/node_core.h"
#include "node/peer_transport.h"

namespace gorsetrail::node {

/// Counters of all parts of a node at one moment.
struct MetricsSnapshot {
  NodeCounters node;
  PeerTransportCounters peers;
  DispatchCounters dispatches;
  http::HttpServerCounters callers;
};

/// Holds the histograms; counters come from their owners when the page is asked for.
class NodeMetrics {
 public:
  NodeMetrics();
  ~NodeMetrics();
  NodeMetrics(const NodeMetrics&) = delete;
  NodeMetrics& operator=(const NodeMetrics&) = delete;

  /// From a call's arrival to the end of its answer, in seconds.
  void observeCallSeconds(double span);
  /// From a call's arrival to its first dispatch, in seconds.
  void observeDispatchSeconds(double span);
  [[nodiscard]] std::string render(const MetricsSnapshot& snapshot) const;

 private:
  struct Histograms;
  std::unique_ptr<Histograms> histograms_;
};

}  // namespace gorsetrail::node
