/// \file Checks that a request under which several replicas ended is not sent to another one, and
/// that no other request is refused for that reason.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lab/faultsoak/soak_violation.h"

namespace gorsetrail::lab {

/// How many cases the checks had.
struct EndedReplicaCases {
  std::uint64_t ends = 0;               ///< Replicas that ended under a request.
  std::uint64_t requestsAtLimit = 0;    ///< Requests under which as many ended as may.
  std::uint64_t triesAtLimit = 0;       ///< Attempts that clients sent afterwards.
  std::uint64_t lateTriesAtLimit = 0;   ///< Of these, sent some seconds later.
  std::uint64_t refusedAtLimit = 0;     ///< Of these, answered 503 for this reason.
  std::uint64_t bystanders = 0;         ///< Other requests that ran at a replica as it ended.
  std::uint64_t bystandersServed = 0;   ///< Of these, answered whole afterwards.
  std::uint64_t refusedBystanders = 0;  ///< Attempts of others refused for this reason.
};

/// Follows requests by name: the same in all attempts of a client.
class EndedReplicaWatcher {
 public:
  /// Replicas that may end under one request.
  static constexpr std::size_t kMostEnds = 3;

  /// A client sends an attempt of a request.
  /// \param isLateReturn some seconds after the attempts before it.
  void onAttempt(const std::string& id, const std::string& request, bool endsReplicas,
                 bool isLateReturn = false);
  /// An attempt arrives at a replica, which runs it next.
  void onRun(const std::string& id);
  /// A replica ended while it ran these attempts, which may be none.
  void onReplicaEnd(const std::vector<std::string>& ids);
  /// How an attempt ended, for these checks.
  enum class Outcome : std::uint8_t {
    Whole,
    RefusedForEnds,           ///< Too many replicas ended under the request.
    RefusedForUncertainEnds,  ///< Likewise, with a time to come back.
    Other,
  };
  void onAnswer(const std::string& id, Outcome outcome);
  /// All nodes ended at once, and what they knew with them.
  void onAllNodesLost();

  [[nodiscard]] const EndedReplicaCases& cases() const { return cases_; }
  /// \return bystanders without a whole answer since: the interrupted attempt of each and those
  /// that followed.
  [[nodiscard]] std::vector<std::vector<std::string>> unservedBystanders() const;
  /// \return the violations since the last call.
  [[nodiscard]] std::vector<SoakViolation> takeViolations();

 private:
  struct Request {
    bool endsReplicas = false;
    std::size_t ends = 0;
    std::uint64_t endsBefore = 0;  ///< Of any replica, before the first attempt.
    bool isBystander = false;
    std::vector<std::string> attemptsAsBystander;  ///< From the interrupted one on.
  };
  Request* requestOf(const std::string& id);

  std::map<std::string, std::string> nameOfAttempt_;
  std::map<std::string, Request> requests_;
  std::uint64_t replicaEnds_ = 0;  ///< Under any request or none.
  EndedReplicaCases cases_;
  std::vector<SoakViolation> violations_;
};

}  // namespace gorsetrail::lab
