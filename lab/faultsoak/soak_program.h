/// \file Clients of the soak: agent programs whose turns and tools go to any node.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "http/http_client.h"
#include "lab/faultsoak/node_choice.h"
#include "lab/faultsoak/promise_watcher.h"
#include "lab/faultsoak/soak_replica.h"
#include "services/timer_service.h"

namespace gorsetrail::lab {

/// A turn that was answered whole, so that any program may go on from it.
struct StoredTurn {
  std::string id;
  std::string history;  ///< Inputs and events of its chain up to its end.
  std::string tenant;
};

/// What the checks of overload learn of a program.
enum class SoakStep : std::uint8_t {
  Start,         ///< It sends its first turn for the first time.
  TurnRefused,   ///< For lack of capacity.
  TurnAnswered,  ///< Whole.
};

/// What all programs of a soak share; outlives them.
struct SoakClients {
  http::HttpClient& client;
  services::TimerService& timers;
  PromiseWatcher& watcher;
  RandomSource& random;
  std::vector<std::string> nodes;  ///< Where clients connect.
  std::uint64_t nextId = 0;
  std::uint64_t turnsAnswered = 0;
  std::uint64_t programsEnded = 0;
  std::uint64_t programsFailed = 0;
  /// Some whole turns of the time so far, each with the same chance.
  std::vector<StoredTurn> storedTurns{};
  std::uint64_t storedTurnsSeen = 0;
  std::uint64_t sentOnKeptConnections = 0;
  /// Of these, attempts that ended without any byte of an answer.
  std::uint64_t unansweredOnKeptConnections = 0;
  /// Optional.
  std::function<void(SoakStep step, const std::string& program, const std::string& tenant)>
      onStep{};
};

/// \return whether the answer says that the service's capacity, or the tenant's part of it, is
/// used.
bool isRefusedForCapacity(const SoakAnswer& answer);
/// \return the API key of a tenant.
std::string apiKeyOf(const std::string& tenant);

/// One program: turns one after the other, each with a tool call behind it. Some loop until their
/// budget is spent. It goes on from turns that were answered whole, keeps to a node while a
/// connection to it is open, and tries again as the protocol allows.
class SoakProgram : public std::enable_shared_from_this<SoakProgram> {
 public:
  static constexpr std::uint64_t kTokensPerEvent = 10;

  /// Tries of a turn until the program gives up.
  static constexpr int kMostTries = 12;
  /// Longer than any time after which nodes might take absent news of a replica for proof.
  static constexpr Duration kLateReturnTime = seconds(6);
  static constexpr int kLateReturns = 2;

  SoakProgram(SoakClients& clients, std::string tenant, int mostTries = kMostTries);
  /// \param onEnded called once.
  void start(std::function<void()> onEnded);
  /// Goes on from a turn of another program, and asks until it is answered.
  void startFrom(const StoredTurn& turn);
  /// Takes turns that use most of its budget.
  /// \param onEnded called once, with whether all turns were answered.
  void startNearBudget(std::function<void(bool well)> onEnded);
  /// Sends one request that ends each replica that runs it, and sends it again until it gives up,
  /// each time to another node. Comes back after `kLateReturnTime`, as after a refusal that names a
  /// time.
  /// \param route not `Unsafe`, which is sent once.
  void startEndingReplicas(SoakRoute route, SoakReplica::Effect effect);

 private:
  struct Gathered;

  void sendTurn();
  void storeTurn(const SoakAttempt& attempt);
  void onTurn(const SoakAttempt& attempt, const SoakAnswer& answer);
  void sendTool(bool safe, int triesLeft);
  void onTool(const SoakAttempt& attempt, const SoakAnswer& answer, int triesLeft);
  void retryTurn();
  /// Remembers where the client goes on with a stream that broke off, or that it is to begin anew.
  void noteBrokenStream(const SoakAttempt& attempt, const SoakAnswer& answer);
  void end(bool well);
  void returnLate();
  void tell(SoakStep step) const;
  /// \return the address that the next request goes to.
  std::string chooseNode(Gathered& gathered);
  void send(const SoakAttempt& attempt, const std::string& method, const std::string& target,
            const std::string& body, std::function<void(const SoakAnswer&)> onAnswer);

  SoakClients& clients_;
  NodeChoice nodeChoice_;
  std::function<void()> onEnded_;
  std::function<void(bool well)> onNearBudgetEnded_;
  std::string id_;
  std::string tenant_;
  bool persisted_ = false;  ///< Its turns are kept by the system; else each stands alone.
  bool loops_ = false;
  bool endsReplicas_ = false;
  SoakRoute endingRoute_ = SoakRoute::Turn;  ///< Of the request that ends replicas.
  int lateReturns_ = 0;
  std::uint64_t budget_ = 0;
  int turnsWanted_ = 0;
  int turnsDone_ = 0;
  Instant finishAt_{};  ///< When the program should be over.
  int tries_ = 0;
  int mostTries_;
  std::string history_;
  std::string previous_;
  /// Attempt that brought the first event of a stream that broke off; empty: there is none.
  std::string resumes_;
  int lastEvent_ = 0;  ///< Of that stream.
};

}  // namespace gorsetrail::lab
