/// \file Several program services on a seeded network in virtual time, with a back end that counts
/// runs. The cluster sees only commands and messages, never the insides of a service.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "program/program_service_impl.h"

namespace gorsetrail::program {

/// How the network and the back end treat messages; chances in per mille.
struct ClusterConditions {
  unsigned lossPerMille = 0;
  unsigned duplicatePerMille = 0;
  unsigned latePerMille = 0;  ///< Delayed by up to `longestDelay`, so also reordered.
  Duration shortestDelay = microseconds(500);
  Duration usualDelay = milliseconds(3);
  Duration longestDelay = milliseconds(1200);
  Duration backendTime = milliseconds(40);
};

/// What a caller was told about one call.
struct CallReport {
  std::string key;
  bool repeatable = true;
  bool dispatched = false;
  std::optional<DispatchId> dispatch;
  std::optional<std::string> answer;  ///< Recorded or replayed.
  bool replayed = false;
  std::optional<Error> error;
  Instant askedAt;
  Instant overAt;
  [[nodiscard]] bool isOver() const { return answer || error; }
};

class JournalCluster final : public ReplicaGroups {
 public:
  JournalCluster(std::uint32_t nodes, std::uint64_t seed, ClusterConditions conditions = {},
                 ProgramKnobs knobs = {});

  /// \name Callers
  /// @{
  CallHandle call(std::uint32_t node, const std::string& key, bool repeatable = false,
                  const std::string& messages = "[]", const std::string& branch = "",
                  std::uint32_t tokens = 10);
  CallHandle close(std::uint32_t node);
  const CallReport& report(CallHandle handle) { return reports_.at(handle); }
  /// @}

  /// \name Faults
  /// @{
  void kill(std::uint32_t node);
  void restart(std::uint32_t node);  ///< Empty memory, next incarnation.
  void pause(std::uint32_t node);
  void resume(std::uint32_t node);
  /// Membership of all nodes holds the node for dead, whatever it is.
  void suspect(std::uint32_t node, bool isSuspected = true);
  void cut(std::uint32_t one, std::uint32_t other, bool isCut = true);
  /// @}

  void run(Duration span);
  /// Runs until the call is over, at most ten virtual seconds.
  const CallReport& finish(CallHandle handle);
  /// Asks node after node, as a caller with one request id would, until there is an answer.
  /// \return the last report; without an answer after `attempts` questions.
  const CallReport& askUntilAnswered(const std::string& requestKey, unsigned attempts = 40);
  /// Ends all faults: every node runs, is believed to, and hears every other.
  void heal();

  ProgramServiceImpl& service(std::uint32_t node) { return *nodes_.at(node).service; }
  [[nodiscard]] bool isUp(std::uint32_t node) const { return nodes_.at(node).service != nullptr; }
  [[nodiscard]] bool isPaused(std::uint32_t node) const { return nodes_.at(node).isPaused; }
  [[nodiscard]] unsigned runsOf(const std::string& key) const;
  [[nodiscard]] const std::map<CallHandle, CallReport>& reports() const { return reports_; }
  [[nodiscard]] const std::map<std::string, unsigned>& runs() const { return runs_; }
  [[nodiscard]] std::uint64_t sent() const { return sent_; }
  RandomSource& random() { return random_; }
  Instant now() const { return now_; }
  ProgramKey key{"zone-1", "tenant", "program"};
  BudgetLimits limits;
  Duration timeLimit = seconds(8);
  std::vector<std::string> dispatchOrder;  ///< Keys, as the back end met them.
  /// Told of every message between different nodes, lost or not.
  std::function<void(const JournalMessage&)> onSent;

  [[nodiscard]] Group groupOf(const std::string& homeZone, ProgramId program) const override;

 private:
  struct View final : PeerLiveness {
    const JournalCluster* cluster = nullptr;
    [[nodiscard]] bool isAlive(NodeId node, Incarnation incarnation) const override;
    [[nodiscard]] std::string callerAddressOf(NodeId node) const override;
  };
  struct Node {
    std::unique_ptr<ProgramServiceImpl> service;
    std::uint64_t incarnation = 1;
    bool isPaused = false;
    bool isSuspected = false;
    std::vector<std::pair<NodeId, JournalMessage>> heldMessages;
    std::vector<CallHandle> heldAnswers;
  };
  struct Delivery {
    std::uint32_t to = 0;
    std::uint32_t from = 0;
    std::optional<JournalMessage> message;  ///< None: the back end's answer to `handle`.
    CallHandle handle;
    std::uint64_t incarnation = 0;
  };

  void start(std::uint32_t node);
  void collect(std::uint32_t node);
  void send(std::uint32_t from, const SendJournalMessage& command);
  void deliver(const Delivery& delivery);
  void answer(std::uint32_t node, CallHandle handle);
  void take(std::uint32_t node, const ProgramCommand& command);
  [[nodiscard]] Duration delay();

  ClusterConditions conditions_;
  ProgramKnobs knobs_;
  RandomSource random_;
  View view_;
  std::map<std::uint32_t, Node> nodes_;
  std::multimap<Instant, Delivery> events_;
  std::map<CallHandle, CallReport> reports_;
  std::map<std::string, unsigned> runs_;
  std::set<std::pair<std::uint32_t, std::uint32_t>> cuts_;
  Instant now_{};
  Instant nextTick_{};
  std::uint64_t nextHandle_ = 1;
  std::uint64_t sent_ = 0;
};

}  // namespace gorsetrail::program
