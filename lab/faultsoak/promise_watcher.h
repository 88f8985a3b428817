/// \file Checks the promises while a soak runs, from what clients and back ends see alone.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lab/faultsoak/ended_replica_watcher.h"
#include "lab/faultsoak/soak_violation.h"

namespace gorsetrail::lab {

/// What may be repeated on the soak's routes.
enum class SoakRoute : std::uint8_t {
  Turn,       ///< Persisted stream: at most once for each client attempt.
  Resumable,  ///< Stream that may go on at another replica.
  Unsafe,     ///< At most once for each client attempt.
  Safe,       ///< May run more than once.
};

/// One client attempt before it is sent.
struct SoakAttempt {
  std::string id;
  SoakRoute route = SoakRoute::Safe;
  std::string program;
  std::string expectedInput;        ///< What a replica must get: the whole chain for turns.
  std::string expectedOutput;       ///< The body of a whole answer.
  bool continuesWholeTurn = false;  ///< It names a turn that was answered whole.
  /// Id of the attempt that brought the stream's first event, which this one goes on with; empty:
  /// it begins a stream.
  std::string resumes{};
  bool endsReplicas = false;  ///< Each replica that runs it ends.
  bool isLateReturn = false;  ///< The client comes back some seconds after it gave up.
};

/// What the client saw of an attempt; status 0: a connection that closed before an answer.
struct SoakAnswer {
  unsigned status = 0;
  bool whole = false;
  std::string body;      ///< As far as it came.
  bool notSent = false;  ///< Not a byte of the request left.
  bool namesRetryTime = false;
};

/// Streams that clients asked for, by name, and whether any attempt brought an event or the end.
using SoakStreams = std::map<std::string, bool>;
/// \return how many of the streams were served.
std::uint64_t servedOf(const SoakStreams& streams);

class PromiseWatcher {
 public:
  /// Fewer resumed streams say nothing of the share that goes on.
  static constexpr std::uint64_t kLeastResumedStreams = 12;
  /// Runs of first turns after a loss of all that show that first turns are served.
  static constexpr std::uint64_t kLeastFirstTurnsAfterLoss = 3;

  /// \param tokensPerEvent what one event of a stream stands for.
  explicit PromiseWatcher(std::uint64_t tokensPerEvent) : tokensPerEvent_(tokensPerEvent) {}

  void onProgram(const std::string& program, std::uint64_t budget, std::uint64_t mostOfOneTurn);
  void onSent(const SoakAttempt& attempt);
  /// A replica begins to work on a request. \param resumes it goes on after an event.
  void onRun(const std::string& id, const std::string& input, bool resumes);
  void onAnswer(const std::string& id, const SoakAnswer& answer);
  /// A replica ended while it ran these attempts.
  void onReplicaEnd(const std::vector<std::string>& ids);
  /// All nodes were lost at once; every node's memory with them.
  void onLossOfAll() {
    lossOfAll_ = true;
    endedReplicas_.onAllNodesLost();
  }
  /// All nodes were killed at once amid the other faults: streams that began before owe nothing.
  void onAllKilled();
  /// The software version of the replicas that take work, one entry for each.
  void onServingVersions(std::vector<std::string> versions) { serving_ = std::move(versions); }
  /// The program goes on from a turn that was stored before the loss, and asks from now on.
  void onGoesOnAfterLoss(const std::string& program) { goingOn_[program] = {}; }
  /// \return whether each of these programs, and enough first turns, reached a replica.
  [[nodiscard]] bool isServedAfterLoss() const;
  /// The time that the nodes have to recover is over.
  void checkAfterLoss();
  /// Of the streams that clients went on with while two replicas of their version took work, the
  /// share that did go on is no less than half of the share of new streams that began.
  void checkResumedStreams();
  /// Of 12 or more requests that ran at a replica as another one ended it, the share that is
  /// answered later is no less than half of the share of new streams that begin.
  void checkBystanders();
  [[nodiscard]] const SoakStreams& newStreams() const { return newStreams_; }
  [[nodiscard]] const SoakStreams& resumedStreams() const { return resumedStreams_; }
  [[nodiscard]] const EndedReplicaCases& endedReplicas() const { return endedReplicas_.cases(); }

  [[nodiscard]] std::vector<std::vector<std::string>> unservedBystanders() const {
    return endedReplicas_.unservedBystanders();
  }

  /// Found by the run itself.
  void add(SoakViolation violation) { violations_.push_back(std::move(violation)); }

  [[nodiscard]] const std::vector<SoakViolation>& violations() const { return violations_; }
  /// \return answers by status; 0 stands for closed connections.
  [[nodiscard]] const std::map<unsigned, std::uint64_t>& answers() const { return answers_; }

 private:
  struct Known {
    SoakAttempt attempt;
    std::uint64_t runs = 0;  ///< From the start; resumptions do not count.
    bool promisedNotRun = false;
    bool sentAfterLoss = false;
  };
  struct Program {
    std::uint64_t budget = 0;
    std::uint64_t mostOfOneTurn = 0;
    std::uint64_t tokens = 0;
  };
  /// A program that goes on from a turn of before a loss of all nodes.
  struct GoingOn {
    std::uint64_t tries = 0;
    unsigned lastStatus = 0;
    bool served = false;  ///< A replica ran it, or its budget was spent in truth.
  };
  void takeEndedReplicaViolations();
  void noteRunAfterLoss(const Known& known);
  void noteAnswerAfterLoss(const SoakAttempt& attempt, unsigned status);
  [[nodiscard]] bool isBudgetSpent(const std::string& program) const;
  void checkBody(const SoakAttempt& attempt, const SoakAnswer& answer);
  void countTokens(const SoakAttempt& attempt, const SoakAnswer& answer);
  void countStream(const SoakAttempt& attempt, const SoakAnswer& answer);
  /// \return whether enough replicas of the resumed stream's version take work.
  [[nodiscard]] bool isVersionServing(const std::string& stream) const;
  /// \param versions of the replicas that wrote the answer's events.
  void checkVersions(const SoakAttempt& attempt, const std::vector<std::string>& versions);

  std::uint64_t tokensPerEvent_;
  std::map<std::string, Known> attempts_;
  std::map<std::string, Program> programs_;
  std::map<unsigned, std::uint64_t> answers_;
  bool lossOfAll_ = false;
  std::map<std::string, GoingOn> goingOn_;  ///< By program.
  std::uint64_t firstTurnsAfterLoss_ = 0;
  std::map<std::string, std::string> versions_;  ///< Of each stream, by its first attempt.
  std::vector<std::string> serving_;
  std::set<std::string> streamsBeforeKill_;
  EndedReplicaWatcher endedReplicas_;
  SoakStreams newStreams_;      ///< By input, which is the same in all attempts of a turn.
  SoakStreams resumedStreams_;  ///< By first attempt.
  std::vector<SoakViolation> violations_;
};

}  // namespace gorsetrail::lab
