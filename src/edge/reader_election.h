/// \file Elects the node of a zone that reads the followed topics while the members are unknown. No
/// I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/random.h"
#include "base/time.h"

namespace gorsetrail::edge {

/// Settings of `ReaderElection`.
struct ReaderElectionKnobs {
  /// Random part of the claim delay. Each node lists the claims before it writes its own, so a wide
  /// spread keeps the number of concurrent claims small.
  Duration claimSpread = milliseconds(500);
  /// Additional claim delay of a node with zero capacity, so that nodes with narrow links or little
  /// CPU claim only if no better node does. They serve a zone of 160 nodes ten times slower.
  Duration lowCapacityDelay = milliseconds(1000);
  /// A node of this capacity has half of `lowCapacityDelay`. Chosen between the capacities of
  /// machines with narrow links, 0.004 to 0.02, and of those with wide ones, 0.25 to 0.5.
  double halfDelayCapacity = 0.05;
  /// A claimed reader that was unreachable is ignored for this time, then tried again.
  Duration suspicionTime = milliseconds(3000);
  /// Interval at which a reader checks if a later claim has replaced its own.
  Duration reviewPeriod = milliseconds(3000);
  /// A reader that is reachable but cannot answer for this time is treated as unreachable. Long
  /// enough for the listing at the start of a large fleet. Doubles each time a reader is replaced,
  /// up to `maximumNoAnswerTimeout`, so that a slow store does not make one reader after the other
  /// start its listing again.
  Duration noAnswerTimeout = milliseconds(5000);
  Duration maximumNoAnswerTimeout = milliseconds(40000);
};

/// Limits the reads from the store while the members are unknown, for example when all nodes of a
/// fleet start together. If each of n nodes then read the topics itself, m replicas that write r
/// bytes per second would cost the store n * m * r, twelve times its 80 MB/s with 1,000 nodes. The
/// most capable nodes of each zone claim to be its topic reader, in a small topic with one key per
/// zone; all others read through the claimed reader. A claim is no lock: two readers in one zone
/// only cost extra reads, and the last claim counts.
class ReaderElection {
 public:
  /// The next action of the caller.
  enum class Step : std::uint8_t {
    None,   ///< Nothing to do now.
    List,   ///< List the claims.
    Claim,  ///< Write this node's claim.
  };

  ReaderElection(std::string ownAddress, double capacity, ReaderElectionKnobs knobs,
                 std::uint64_t seed);

  /// Called when the claims have been listed.
  /// \param address the claimed reader of the zone; empty: none.
  void onListed(const std::string& address, Instant now);
  /// Called when this node's claim has been written.
  void onClaimed(Instant now);
  /// Called when a reader could not be reached.
  void onUnreachable(const std::string& address, Instant now);
  /// Called when a reader has answered from its copy of the topics.
  void onAnswered(const std::string& address);
  /// Called when a reader was reached but could not answer, because it has not listed the topics or
  /// the store is busy.
  void onNoAnswer(const std::string& address, Instant now);
  /// Called when no known reader could be reached; the claims are listed again.
  void onNoReader(Instant now);

  /// \return the zone's claimed reader; empty if there is none or it was unreachable.
  [[nodiscard]] std::string reader(Instant now) const;
  /// \return whether this node is the claimed reader.
  [[nodiscard]] bool isReader() const { return isReader_; }
  [[nodiscard]] Step next(Instant now) const;

 private:
  [[nodiscard]] bool isSuspect(const std::string& address, Instant now) const;
  [[nodiscard]] Duration claimDelay();

  std::string ownAddress_;
  double capacity_;
  ReaderElectionKnobs knobs_;
  RandomSource random_;
  std::string reader_;
  bool isReader_ = false;
  /// The claims must be listed, because no reader is known or reachable.
  bool needsListing_ = true;
  /// The claims were listed again after the claim delay had passed.
  bool isRelistedBeforeClaim_ = false;
  std::optional<Instant> claimAt_;
  Instant reviewAt_;
  Duration noAnswerTimeout_;  ///< See `ReaderElectionKnobs::noAnswerTimeout`.
  /// Time since which the reader is reachable but does not answer.
  std::optional<Instant> noAnswerSince_;
  std::map<std::string, Instant> suspectUntil_;
};

}  // namespace gorsetrail::edge
