/// \file One soak: real node processes between a stand-in store, replicas and clients, with
/// faults from outside.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/faultsoak/fault_plan.h"
#include "lab/faultsoak/fault_proxy.h"
#include "lab/faultsoak/node_processes.h"
#include "lab/faultsoak/place_watcher.h"
#include "lab/faultsoak/promise_watcher.h"
#include "lab/faultsoak/replica_way.h"
#include "lab/faultsoak/soak_crowds.h"
#include "lab/faultsoak/soak_overload.h"
#include "lab/faultsoak/soak_program.h"
#include "lab/faultsoak/soak_replica.h"
#include "lab/faultsoak/stall_watch.h"
#include "lab/platform/store_stand_in.h"

namespace gorsetrail::lab {

struct SoakOptions {
  std::string directory;  ///< For settings files, process ids and the end mark.
  std::uint64_t seed = 1;
  Duration length = seconds(30);
  std::size_t nodes = 5;
  /// Nodes listen on 127.0.SUBNET.1 and up; soaks side by side need one each.
  std::size_t subnet = 1;
  std::size_t replicas = 4;
  std::size_t programs = 12;  ///< Under way at a time.
};

class SoakRun {
 public:
  explicit SoakRun(SoakOptions options);

  /// Writes the settings and the file `ready`, runs, and writes the file `ended`.
  void run();
  /// \return one JSON object: seed, counts, faults, violations.
  [[nodiscard]] std::string report() const;
  [[nodiscard]] bool isClean() const { return watcher_.violations().empty(); }

 private:
  void makeWorld();
  void writeSettings(std::size_t node) const;
  /// Changes the settings file, and tells the process. \return whether it runs.
  bool reloadSettings(std::size_t node);
  void publishConfiguration();
  /// Writes the replica's registration, with what is left of its cold time.
  void registerReplica(std::size_t replica);
  /// The next life of the replica registers.
  void registerNextLife(std::size_t replica);
  /// The replica's process ends, and one of another id and software version takes its place.
  void replaceReplica(std::size_t replica);
  /// A program sends a request that ends replicas.
  void sendEndingRequest(const SoakFault& fault);
  /// A request has ended the replica's process; the next one starts after `downTime_`.
  void onReplicaEnd(std::size_t replica, SoakReplica::Effect effect);
  /// A cause for which the replica is down is over.
  void bringUp(std::size_t replica);
  /// Another writer's entry comes, or goes.
  void putForeignEntry(const SoakFault& fault, bool present);
  void evacuate(const std::string& zone, std::optional<Instant> emptyAfter);
  /// Its replicas are cold from then on.
  void takeBack(const std::string& zone);
  /// Tells the node's process to end. \return whether it runs.
  bool endNode(std::size_t node, int signalNumber);
  bool waitForNodes();
  void keepProgramsGoing();
  void scheduleFaults();
  void strike(const SoakFault& fault);
  void heal(const SoakFault& fault);
  /// Called after the faults, and with the quiet phase that follows them: its many cases must not
  /// hide what failed among the faults.
  void checkResumption();
  /// Requests that end replicas, one after another, until the checks of them have cases.
  void checkEndingRequests();
  /// Ends replicas while no node reaches the store, and until clients come back.
  void checkEndsWithoutStore();
  [[nodiscard]] bool endedReplicasHaveCases() const;
  void checkRecovery();
  /// Hostile clients come to one node after another; the others' programs go on.
  void checkCrowds();
  /// A hot tenant and a burst while a zone is evacuated and nothing else strikes.
  void checkOverload();
  /// Kills all nodes at once; new programs go on from turns that were stored before.
  /// One node is killed in calm; programs that have used more than half of their budgets go on.
  void checkSingleKill();
  void checkLossOfAll();
  /// A check that had no cases says nothing: the seed does not pass.
  void checkCases();
  /// \return requests that replicas answered with a failure instead of ending.
  [[nodiscard]] std::uint64_t failuresInstead() const;
  void setStoreFault(std::size_t node, ProxyFault fault);
  /// Looks each period whether the soak and its nodes get to run.
  void watchStalls();
  void runFor(Duration span);
  [[nodiscard]] std::string ipOf(std::size_t node) const;
  [[nodiscard]] std::string clientAddress(std::size_t node) const;

  SoakOptions options_;
  boost::asio::io_context context_{1};
  services::TimerServicePtr timers_;
  RandomSource random_;
  PromiseWatcher watcher_{SoakProgram::kTokensPerEvent};
  PlaceWatcher places_;
  std::map<std::string, int> evacuations_;  ///< Under way at a time, by zone.
  NodeProcesses processes_;
  std::unique_ptr<SoakCrowds> crowds_;
  std::uint64_t turnsBesideCrowds_ = 0;
  http::HttpClientPtr client_;
  std::unique_ptr<StoreStandIn> store_;
  SoakReplicaCapacity capacity_;  ///< Of each replica.
  std::vector<std::unique_ptr<SoakReplica>> replicas_;
  std::vector<std::unique_ptr<ReplicaWay>> replicaWays_;
  /// What a replica says of its process.
  struct ReplicaLife {
    std::int64_t startedAtMs = 0;  ///< Unix time.
    std::uint64_t heartbeats = 0;
    std::uint64_t releases = 0;
    bool draining = false;
    Instant coldUntil{};  ///< Outlasts a start: a replica that starts again amid it stays cold.
  };
  std::vector<ReplicaLife> replicaLives_;
  std::unique_ptr<SoakReplica> trap_;  ///< Where foreign entries point to; gets no request.
  /// Of one node; its settings name one of the two ways, the other one after each change.
  struct StoreWays {
    std::array<std::unique_ptr<FaultProxy>, 2> ways;
    std::size_t named = 0;
  };
  std::vector<StoreWays> storeWays_;  ///< One a node.
  std::unique_ptr<StallWatch> stalls_;
  std::vector<std::uint64_t> storePieces_;  ///< By node, as of the last look.
  std::uint64_t looksWithSilence_ = 0;
  bool allWereKilled_ = false;                  ///< At once, amid the other faults.
  std::uint64_t programsNearBudget_ = 0;        ///< Under way at the kill of one node.
  std::uint64_t programsNearBudgetServed_ = 0;  ///< Of these, those whose turns were all answered.
  /// Each puts the limit of the evacuation in `checkRecovery` off.
  std::uint64_t silentLooksInRecovery_ = 0;
  std::unique_ptr<SoakClients> clients_;
  std::unique_ptr<SoakOverload> overload_;
  std::vector<SoakFault> faults_;
  Duration downTime_ = milliseconds(300);  ///< Of a replica that a request ended.
  std::size_t programsUnderWay_ = 0;
  std::size_t programsBegun_ = 0;
  bool takesPrograms_ = true;
  int version_ = 0;
  std::size_t faultsStruck_ = 0;
  std::size_t faultsMissed_ = 0;
  Duration servedAfterLoss_{};  ///< From the loss of all until everybody was served.
};

}  // namespace gorsetrail::lab
