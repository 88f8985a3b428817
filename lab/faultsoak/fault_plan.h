/// \file Which fault strikes when in a soak: all of it follows from the seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "lab/faultsoak/fault_proxy.h"

namespace gorsetrail::lab {

enum class SoakFaultKind : std::uint8_t {
  KillNode,    ///< SIGKILL; the script starts it again.
  PauseNode,   ///< SIGSTOP, and SIGCONT after the duration.
  StopNode,    ///< SIGTERM; the script starts it again.
  KillAll,     ///< SIGKILL to every node at once.
  StoreWay,    ///< A proxy fault between one node and the store.
  ReplicaWay,  ///< A proxy fault before one replica.
  StoreBusy,   ///< The store refuses everybody.
  StoreLosesAnswers,
  ReplicaTroubles,  ///< One replica refuses, loses answers and cuts streams.
  Configuration,    ///< A new version is published.
  ReloadSettings,   ///< The settings file changes, and SIGHUP follows.
  RestartReplica,   ///< It ends, and starts again under its id after the duration.
  ForeignEntry,     ///< Another writer's entry stands among the replicas'.
  EvacuateZone,     ///< A zone is evacuated; its replicas are cold when it is taken back.
  HotTenant,        ///< One tenant has many times its usual load.
  Burst,            ///< All tenants together have more load than the replicas serve.
  EndingRequest,    ///< A program sends a request that ends each replica that runs it.
  ReplaceReplica,   ///< It drains; then a process of another id and software version takes over.
};

/// \return the kind's name, for reports.
const char* soakFaultName(SoakFaultKind kind);

struct SoakFault {
  SoakFaultKind kind = SoakFaultKind::KillNode;
  Duration at{};        ///< From the start of traffic.
  Duration duration{};  ///< Nothing for kills and configurations.
  std::size_t target = 0;
  ProxyFault proxy = ProxyFault::None;
};

/// \return a time between the two, both included.
Duration randomDuration(RandomSource& random, Duration shortest, Duration longest);

/// Single faults and series (fault_series.h), several of which are on at a time.
/// \param length of the soak: the last fault ends before.
/// \return the faults in order of their times.
std::vector<SoakFault> planFaults(std::uint64_t seed, Duration length, std::size_t nodes,
                                  std::size_t replicas);

/// Load beyond capacity while the other faults strike. Its random numbers are its own, so that a
/// seed's other faults stay as they are.
std::vector<SoakFault> planLoads(std::uint64_t seed, Duration length, std::size_t tenants);

/// A release of all replicas after another, one at a time. Versions serve side by side meanwhile,
/// and the last release may bring an old one back. Its random numbers are its own.
std::vector<SoakFault> planReleases(std::uint64_t seed, Duration length, std::size_t replicas);

/// Requests that end the replicas that run them; `target` is below `endingRequestKinds()`. Their
/// random numbers are their own.
std::vector<SoakFault> planEndingRequests(std::uint64_t seed, Duration length);
/// How many kinds of such requests there are: each route on which clients repeat them, with each
/// effect.
std::size_t endingRequestKinds();

/// One request of each kind that ends replicas, in an order by the seed, for the time after all
/// other faults. `at` is not set.
std::vector<SoakFault> planQuietEndingRequests(std::uint64_t seed);

/// The loads of the quiet time behind all other faults: a hot tenant, and a burst that follows it.
/// Their times count from the beginning of that time.
std::vector<SoakFault> planQuietLoads(std::uint64_t seed, std::size_t tenants);

}  // namespace gorsetrail::lab
