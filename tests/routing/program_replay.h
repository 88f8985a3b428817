/// \file Replays a load pattern of programs at one service with several nodes, in virtual time.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>
#include <variant>
#include <vector>

#include "routing/admission_policy.h"
#include "routing/program_admission.h"

namespace gorsetrail::routing::testing {

/// What became of the programs that began in one second of the replay.
struct ReplaySecond {
  int begun = 0;
  int inTime = 0;  ///< Ended before their deadline.
};

/// Programs of six turns (100 ms each) with pauses of 60 ms between them; their deadline is 1.45
/// times that, plus 350 ms. A client tries a refused start once more after 400 ms, and a refused
/// turn twice after 250 ms. The replicas of the service are one engine with 120 slots and a queue,
/// which rejects requests from three per slot on. From one per slot on it becomes slower: under
/// overload, engines of a measured deployment answered 800 turns in two seconds instead of 1,400.
/// Nodes see each other's requests 200 ms late.
class ProgramReplay {
 public:
  static constexpr std::size_t kNoNode = 1000;
  static constexpr int kTurns = 6;
  static constexpr double kSlots = 120;
  static constexpr double kStartsPerSecond = 140;  ///< 0.7 requests per slot.
  static constexpr Duration kStep = milliseconds(10);
  static constexpr Duration kTurn = milliseconds(100);
  static constexpr Duration kPause = milliseconds(60);
  static constexpr Duration kDigestDelay = milliseconds(200);
  static constexpr Duration kDeadline = milliseconds(1655);

  /// \param usesDecision false: programs start up to the limits of `AdmissionPolicy` alone.
  ProgramReplay(std::size_t nodes, bool usesDecision)
      : usesDecision_(usesDecision), nodes_(nodes, Node{}) {}

  /// Runs one second.
  /// \param startsFactor load relative to the usual one.
  void runSecond(double startsFactor) {
    seconds_.emplace_back();
    const std::size_t second = seconds_.size() - 1;
    for (Duration passed{}; passed < milliseconds(1000); passed += kStep) {
      startsDue_ += kStartsPerSecond * startsFactor * 0.01;
      for (; startsDue_ >= 1; startsDue_ -= 1) {
        ++seconds_[second].begun;
        programs_.push_back({second, now_, nodeOf(++begun_), begun_ % 3 == 0 ? 0U : 1U});
        arrive(programs_.size() - 1);
      }
      step();
    }
  }
  [[nodiscard]] const std::vector<ReplaySecond>& seconds() const { return seconds_; }
  [[nodiscard]] double loadPerSlot() const { return static_cast<double>(engine_.size()) / kSlots; }
  /// Nodes from this index on exchange no digests.
  std::size_t firstCutOffNode = kNoNode;
  /// Half of the programs arrive at a fifth of the nodes.
  bool isSkewed = false;
  /// \return the requests per slot that come from nodes that are cut off.
  [[nodiscard]] double cutOffLoadPerSlot() const {
    double sum = 0;
    for (std::size_t node = firstCutOffNode; node < nodes_.size(); ++node) {
      sum += nodes_[node].inFlight;
    }
    return sum / kSlots;
  }
  /// The node's process ends and starts again without state. Its clients send the programs that
  /// were in progress there to the next node.
  void restart(std::size_t node) {
    const std::size_t next = (node + 1) % nodes_.size();
    nodes_[node] = Node{};
    for (Program& program : programs_) {
      program.node = program.node == node ? next : program.node;
    }
    std::vector<Turn> remaining;
    for (const Turn& turn : engine_) {
      if (turn.node == node) {
        wakeups_.push_back({now_ + milliseconds(250), turn.program});
      } else {
        remaining.push_back(turn);
      }
    }
    engine_ = std::move(remaining);
  }

 private:
  struct Program {
    std::size_t second = 0;
    Instant begunAt;
    std::size_t node = 0;
    std::uint32_t priority = 1;
    int turnsDone = 0;
    int refusals = 0;
  };
  struct Turn {
    std::size_t program = 0;
    std::size_t node = 0;
    Instant since;
    double done = 0;  ///< Fraction of the work.
  };
  struct Node {
    ProgramAdmission admission{{}};
    double inFlight = 0;
    std::deque<double> reported;  ///< Earlier values of `inFlight`, one a step, the newest last.
  };
  struct Wakeup {
    Instant at;
    std::size_t program = 0;
  };
  struct Outcome {
    bool isRejected = false;
    double inflation = 0;  ///< Duration relative to an unloaded replica; 0 if rejected.
  };

  [[nodiscard]] std::size_t nodeOf(std::size_t number) const {
    constexpr std::size_t kMixer = 2654435761U;
    const std::size_t mixed = (number * kMixer) >> 7U;
    const std::size_t fifth = std::max<std::size_t>(1, nodes_.size() / 5);
    return mixed / 2 % (isSkewed && mixed % 2 == 0 ? fifth : nodes_.size());
  }
  [[nodiscard]] bool isCutOff(std::size_t node) const { return node >= firstCutOffNode; }
  [[nodiscard]] ServiceLoad loadSeenBy(std::size_t index) const {
    ServiceLoad load{kSlots, nodes_[index].inFlight, nodes_[index].inFlight};
    std::size_t reporting = 0;
    double others = 0;
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
      if (other != index && !isCutOff(index) && !isCutOff(other)) {
        ++reporting;
        others += nodes_[other].reported.empty() ? 0.0 : nodes_[other].reported.front();
      }
    }
    if (reporting > 0) {
      load.requests +=
          others * static_cast<double>(nodes_.size() - 1) / static_cast<double>(reporting);
    }
    return load;
  }

  bool admits(std::size_t index) {
    Program& program = programs_[index];
    const ServiceLoad load = loadSeenBy(program.node);
    ProgramAdmission& admission = nodes_[program.node].admission;
    AdmissionRequest request{WorkStage::Continuing, program.priority, {}, {}};
    if (now_ - program.begunAt >= kDeadline) {
      request.stage = WorkStage::Overdue;
    } else if (program.turnsDone == 0) {
      request.stage = WorkStage::FirstTurn;
    }
    if (usesDecision_) {
      request.programLimit = admission.limitOf("model");
      if (request.stage == WorkStage::FirstTurn &&
          std::holds_alternative<ProgramNotAdmitted>(
              admission.decide({"model", program.priority}, load))) {
        return false;
      }
    }
    Replica replica;
    replica.entry.slots = static_cast<std::uint32_t>(kSlots);
    replica.othersInFlight = load.requests;
    return AdmissionPolicy({}).admits(replica, request);
  }

  void arrive(std::size_t index) {
    Program& program = programs_[index];
    const bool isRejected = loadPerSlot() >= 3;
    if (!admits(index) || isRejected) {
      if (isRejected) {
        outcomes_.push_back({true, 0});
      }
      const int tries = program.turnsDone == 0 ? 1 : 2;
      if (++program.refusals <= tries) {
        wakeups_.push_back({now_ + milliseconds(program.turnsDone == 0 ? 400 : 250), index});
      }
      return;
    }
    program.refusals = 0;
    ++nodes_[program.node].inFlight;
    engine_.push_back({index, program.node, now_, 0});
  }

  void step() {
    now_ += kStep;
    const double work = 0.1 / (1 + 0.7 * std::max(0.0, loadPerSlot() - 1));
    std::vector<Turn> remaining;
    std::vector<Turn> finished;
    for (std::size_t place = 0; place < engine_.size(); ++place) {
      Turn turn = engine_[place];
      turn.done += static_cast<double>(place) < kSlots ? work : 0.0;
      (turn.done >= 0.999 ? finished : remaining).push_back(turn);
    }
    engine_ = std::move(remaining);
    for (const Turn& turn : finished) {
      finish(turn);
    }
    const std::vector<Wakeup> due = std::exchange(wakeups_, {});
    for (const Wakeup& wakeup : due) {
      if (wakeup.at <= now_) {
        arrive(wakeup.program);
      } else {
        wakeups_.push_back(wakeup);
      }
    }
    report();
  }

  void finish(const Turn& turn) {
    Program& program = programs_[turn.program];
    --nodes_[turn.node].inFlight;
    outcomes_.push_back({false, toMilliseconds(now_ - turn.since) / toMilliseconds(kTurn)});
    if (++program.turnsDone < kTurns) {
      wakeups_.push_back({now_ + kPause, turn.program});
    } else if (now_ - program.begunAt <= kDeadline) {
      ++seconds_[program.second].inTime;
    }
  }

  void report() {
    for (Node& node : nodes_) {
      node.reported.push_back(node.inFlight);
      if (node.reported.size() > static_cast<std::size_t>(kDigestDelay / kStep)) {
        node.reported.pop_front();
      }
    }
    if (++steps_ % 10 != 0) {
      return;
    }
    const ServiceReport all = nextReport();
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
      const std::size_t reporting = isCutOff(index) ? 0 : nodes_.size() - 1;
      nodes_[index].admission.update({{"model", loadSeenBy(index), all}},
                                     {nodes_.size() - 1, reporting}, now_);
    }
  }

  /// \return the sum of all nodes' reports: means of about the last second, as nodes send them.
  ServiceReport nextReport() {
    const double keep = std::exp(-0.1);
    completed_ *= keep;
    rejected_ *= keep;
    inflationSum_ *= keep;
    for (const Outcome& outcome : std::exchange(outcomes_, {})) {
      (outcome.isRejected ? rejected_ : completed_) += 1;
      inflationSum_ += outcome.inflation;
    }
    const double inflation = completed_ > 0 ? inflationSum_ / completed_ : 1.0;
    return {0, completed_, rejected_, inflation};
  }

  bool usesDecision_;
  std::vector<Node> nodes_;
  Instant now_;
  std::vector<Program> programs_;
  std::vector<Turn> engine_;  ///< Running and waiting turns, in the order of their arrival.
  std::vector<Wakeup> wakeups_;
  std::vector<Outcome> outcomes_;  ///< Since the last report.
  double completed_ = 0;
  double rejected_ = 0;
  double inflationSum_ = 0;
  std::vector<ReplaySecond> seconds_;
  double startsDue_ = 0;
  std::size_t begun_ = 0;
  std::size_t steps_ = 0;
};

}  // namespace gorsetrail::routing::testing
