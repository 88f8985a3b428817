#include "lab/faultsoak/replica_way.h"

#include <utility>

namespace gorsetrail::lab {

ReplicaWay::ReplicaWay(boost::asio::io_context& context, std::string replica)
    : proxy_(context, std::move(replica)) {}

void ReplicaWay::setFault(ProxyFault fault, Duration delay) {
  networkFault_ = fault;
  delay_ = delay;
  apply();
}

void ReplicaWay::takeDown(ProxyFault fault) {
  ++downCauses_;
  downFault_ = fault;
  apply();
}

bool ReplicaWay::bringUp() {
  if (--downCauses_ > 0) {
    return false;
  }
  endConnections();
  return true;
}

void ReplicaWay::endConnections() {
  proxy_.setFault(ProxyFault::Reset);
  apply();
}

void ReplicaWay::apply() { proxy_.setFault(isDown() ? downFault_ : networkFault_, delay_); }

}  // namespace gorsetrail::lab
