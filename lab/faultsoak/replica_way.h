/// \file The way from nodes to a replica of a soak: faults of the network, and times at which the
/// replica's process is down, may overlap.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <string>

#include "base/time.h"
#include "lab/faultsoak/fault_proxy.h"

namespace gorsetrail::lab {

class ReplicaWay {
 public:
  /// \param replica address of the replica.
  ReplicaWay(boost::asio::io_context& context, std::string replica);

  /// \return the address that nodes call.
  [[nodiscard]] std::string address() const { return proxy_.address(); }
  /// A fault of the network; it shows only while the process is up.
  void setFault(ProxyFault fault, Duration delay = {});
  /// The process has ended. \param fault what its callers meet.
  void takeDown(ProxyFault fault);
  /// One of the causes for which the process is down is over.
  /// \return whether none is left: the next process takes requests from now on.
  bool bringUp();
  [[nodiscard]] bool isDown() const { return downCauses_ > 0; }
  /// Another process takes the place of this one: its connections end.
  void endConnections();
  /// \return what callers meet.
  [[nodiscard]] ProxyFault fault() const { return proxy_.fault(); }

 private:
  void apply();

  FaultProxy proxy_;
  ProxyFault networkFault_ = ProxyFault::None;
  Duration delay_{};
  ProxyFault downFault_ = ProxyFault::Reset;
  std::size_t downCauses_ = 0;
};

}  // namespace gorsetrail::lab
