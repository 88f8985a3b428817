/// \file Settings of an edge node as typed values, whatever file they came from.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "edge/mechanisms.h"

namespace gorsetrail::edge {

/// Where the node listens; every address is `ip:port`, empty when it does not serve that.
struct ListenAddresses {
  std::string clients;
  std::string readiness;
  std::string directory;
  std::string control;
  std::string metrics;
};

/// The shared store's address and its limits.
struct StoreSettings {
  std::string address;
  std::uint32_t partitionsPerTopic = 8;
  std::uint64_t maximumRecordBytes = 262144;
  double writesPerSecond = 800;  ///< Of all nodes together.
  double readsPerSecond = 2000;  ///< Of all nodes together.
};

/// Times that the operators promise or demand.
struct TimeBounds {
  Duration stopLimit = seconds(8);      ///< From the stop signal to the kill.
  Duration drain = seconds(2);          ///< A leaving replica gets nothing new after this.
  Duration configuration = seconds(2);  ///< A new configuration is in force after this.
  double maximumAddressTtlSeconds = 5;  ///< How long clients keep an answer of the directory.
  Duration evacuation = seconds(5);     ///< An evacuated zone's replicas get nothing after this.
  /// A cold replica gets at most its bearable rate times this, and `coldSlack` requests, in any
  /// second, from all nodes together.
  double coldOvershoot = 1.5;
  double coldSlack = 5;
  Duration replicaHeartbeat = milliseconds(1200);  ///< Between two registrations of a replica.
};

struct EdgeSettings {
  std::string nodeName;
  std::string ip;
  std::string zone;
  std::string region;
  std::vector<std::string> zones;  ///< All zones of the deployment.
  std::map<std::string, std::string, std::less<>> regionOfZone;
  double processorShare = 1.0;  ///< Of a core.
  double linkMegabitsPerSecond = 1000;
  ListenAddresses listen;
  std::uint16_t firstInternalPort = 0;
  std::uint16_t lastInternalPort = 0;
  std::vector<std::string> seeds;  ///< Control addresses of some nodes; may be stale.
  StoreSettings store;
  TimeBounds bounds;
  std::uint64_t memoryBytes = std::uint64_t{256} * 1024 * 1024;
  std::uint32_t maximumDescriptors = 1024;
  MechanismSet switchedOff;

  [[nodiscard]] bool uses(Mechanism mechanism) const { return !switchedOff.contains(mechanism); }
};

}  // namespace gorsetrail::edge
