/// \file Hostile clients beside the sound ones of a soak, and a watch over the node processes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lab/faultsoak/crowd_plan.h"
#include "lab/faultsoak/node_processes.h"
#include "lab/faultsoak/process_watch.h"
#include "services/timer_service.h"

namespace gorsetrail::lab {

class SoakCrowds {
 public:
  /// Addresses of a node.
  struct NodeAddress {
    std::string ip;
    std::string clients;
  };

  /// All parameters outlive this object.
  SoakCrowds(boost::asio::io_context& context, services::TimerService& timers,
             const NodeProcesses& processes, MachineBounds bounds, std::vector<NodeAddress> nodes);

  /// Brings crowds to nodes, each at its time from now.
  void schedule(const std::vector<PlannedCrowd>& crowds);
  /// The process was told to end, or killed.
  void onToldToEnd(int processId) { watch_.onToldToEnd(processId); }
  /// Looks at all processes each period, from now on.
  /// \param onViolation called with each promise that a look finds broken.
  void startWatching(std::function<void(SoakViolation)> onViolation);
  void stopWatching() { onViolation_ = {}; }

  [[nodiscard]] const ProcessWatch& watch() const { return watch_; }
  /// \return connections that crowds made, by the name of their kind; 0 for a kind that never came.
  [[nodiscard]] std::map<std::string, std::uint64_t> connections() const;

 private:
  void bring(const PlannedCrowd& planned);
  void look();

  boost::asio::io_context& context_;
  services::TimerService& timers_;
  const NodeProcesses& processes_;
  std::vector<NodeAddress> nodes_;
  ProcessWatch watch_;
  std::function<void(SoakViolation)> onViolation_;  ///< Empty: not watching.
  std::map<std::string, std::uint64_t> connections_;
};

}  // namespace gorsetrail::lab
