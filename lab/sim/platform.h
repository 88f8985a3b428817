/// \file The simulated platform: append-only log, lagging machine list, and the operators.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "lab/sim/node_host.h"

namespace gorsetrail::sim {

/// The platform's log. Appends are at least once; an answer may be lost after the effect.
class SimLog {
 public:
  /// \param context, host outlive the log.
  SimLog(SimContext& context, NodeHost& host) : context_(context), host_(host) {}

  void setDown(bool down);
  void setSlow(bool slow) { slow_ = slow; }
  void setLosesAnswers(bool loses) { losesAnswers_ = loses; }
  [[nodiscard]] bool isDown() const { return down_; }
  /// \return since when it has been up.
  [[nodiscard]] Instant upSince() const { return upSince_; }

  /// An operator's append; the caller has seen that the log is up.
  void append(const std::string& stream, const std::string& record) {
    streams_[stream].push_back(record);
  }
  /// A node's append; it hears of it later, or that it failed.
  void appendFrom(const SimNode& node, const node::AppendLogRecord& command);
  /// A node reads what it has not seen of the bundle stream.
  void readBundles(SimNode& node);
  [[nodiscard]] const std::vector<std::string>& records(const std::string& stream) {
    return streams_[stream];
  }

 private:
  void answer(NodeId node, Incarnation life, std::uint64_t sequence, bool taken, Duration after);
  [[nodiscard]] Duration roundTrip();

  SimContext& context_;
  NodeHost& host_;
  bool down_ = false;
  bool slow_ = false;
  bool losesAnswers_ = false;
  Instant upSince_{};
  std::map<std::string, std::vector<std::string>> streams_;
};

/// The platform's list of machines, as old as the scenario says.
class SimMachineList {
 public:
  SimMachineList(SimContext& context, NodeHost& host) : context_(context), host_(host) {}
  void note(NodeId node, Incarnation incarnation, membership::MemberState state);
  void tell(SimNode& node);

 private:
  struct Line {
    Instant visibleAt;
    membership::MachineListEntry line;
  };
  SimContext& context_;
  NodeHost& host_;
  std::vector<Line> lines_;
};

/// Publishes bundles, and knows from the log alone which one was accepted.
class SimOperator {
 public:
  SimOperator(SimContext& context, SimLog& log) : context_(context), log_(log) {}

  /// Publishes the next version, or waits until the log is up.
  void publish();
  /// Two operators publish different bundles on the same base at once.
  void race();
  void setLeaving(const std::string& backend, bool leaving);

  [[nodiscard]] BundleVersion accepted() const { return accepted_.version; }
  [[nodiscard]] double acceptedWeight(BundleVersion version) const;
  [[nodiscard]] Instant acceptedAt() const { return acceptedAt_; }

 private:
  BundleChoice nextChoice();
  void append(const BundleChoice& choice);

  SimContext& context_;
  SimLog& log_;
  BundleChoice accepted_;
  Instant acceptedAt_{};
  std::map<BundleVersion, double> weights_;
  std::set<std::string> leaving_;
  std::uint32_t publications_ = 0;
};

}  // namespace gorsetrail::sim
