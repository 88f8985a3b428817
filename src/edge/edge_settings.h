/// \file Settings of an edge node as typed values, independent of the file format.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "edge/mechanisms.h"

namespace gorsetrail::edge {

/// Listen addresses, each `ip:port`; an empty one disables its service.
struct ListenAddresses {
  std::string clients;
  std::string readiness;
  std::string directory;
  std::string control;
  std::string metrics;
};

/// Address and limits of the shared store.
struct StoreSettings {
  std::string address;
  std::uint32_t partitionsPerTopic = 8;
  std::uint64_t maximumRecordBytes = 262144;
  double writesPerSecond = 800;  ///< Of all nodes together.
  double readsPerSecond = 2000;  ///< Of all nodes together.
};

/// Time limits that the deployment promises or requires.
struct TimeBounds {
  Duration stopLimit = seconds(8);  ///< From the stop signal until the process is killed.
  Duration drain = seconds(2);  ///< A draining replica receives no new requests after this time.
  /// A new configuration is in force on all nodes within this time.
  Duration configuration = seconds(2);
  double maximumAddressTtlSeconds = 5;  ///< Longest time that clients cache a directory answer.
  /// Replicas of an evacuated zone receive no requests after this time.
  Duration evacuation = seconds(5);
  /// In any second, all nodes together send a cold replica at most its sustainable rate times
  /// `coldOvershoot`, plus `coldSlack` requests.
  double coldOvershoot = 1.5;
  double coldSlack = 5;
  Duration replicaHeartbeat = milliseconds(1200);  ///< Between two registrations of a replica.
};

/// All settings of one edge node.
struct EdgeSettings {
  std::string nodeName;
  std::string ip;
  std::string zone;
  std::string region;
  std::vector<std::string> zones;  ///< All zones of the deployment.
  std::map<std::string, std::string, std::less<>> regionOfZone;
  double processorShare = 1.0;  ///< Fraction of one CPU core.
  double linkMegabitsPerSecond = 1000;
  ListenAddresses listen;
  /// Ports for traffic between nodes; each service has a fixed offset from the first.
  std::uint16_t firstInternalPort = 0;
  std::uint16_t lastInternalPort = 0;
  std::vector<std::string> seeds;  ///< Control addresses of some other nodes; may be outdated.
  StoreSettings store;
  TimeBounds bounds;
  std::uint64_t memoryBytes = std::uint64_t{256} * 1024 * 1024;
  std::uint32_t maximumDescriptors = 1024;
  /// Whether callers may compete for more capacity than there is: then programs that can still end
  /// in time go before others, and tenants share the replicas.
  bool overloadControl = false;
  /// Whether a learned load limit decides which programs start; only with `overloadControl`. Off
  /// unless an operator asks for it: it refused more programs than it saved on loads that engines
  /// bear in part (design note 0022).
  bool limitsPrograms = false;
  MechanismSet disabledMechanisms;

  [[nodiscard]] bool uses(Mechanism mechanism) const {
    return !disabledMechanisms.contains(mechanism);
  }
};

}  // namespace gorsetrail::edge
