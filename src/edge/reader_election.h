/// \file Which node of a zone reads the followed topics before the members are known. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/random.h"
#include "base/time.h"

namespace gorsetrail::edge {

/// Knobs of `ReaderElection`.
struct ReaderElectionKnobs {
  /// Claims of one zone are spread over this time. A node looks for an earlier claim some 20 ms
  /// before its own stands, so that of 60 capable nodes about two claim.
  Duration spread = milliseconds(500);
  /// Nodes without capacity claim so much later: one with a narrow link or a small share of a core
  /// serves a zone of 160 nodes ten times slower.
  Duration weakNodeDelay = milliseconds(1000);
  /// A node of this capacity waits half of `weakNodeDelay`. It lies between the capacities of the
  /// narrow and the wide machines known: 0.004 to 0.02, and 0.25 to 0.5.
  double middleCapacity = 0.05;
  /// A claim that was not reached is passed over for so long, so that a reader that restarts or was
  /// cut off for a moment is asked again.
  Duration suspicionTime = milliseconds(3000);
  /// A reader looks after this time whether a later claim has taken its place.
  Duration reviewPeriod = milliseconds(3000);
  /// A reader that lives and cannot answer for so long is passed over like one that is not reached.
  /// A listing at the start of a large fleet takes less. Doubles with each reader that is passed
  /// over, up to `longestPatience`: a store that is slow for all would have each of them begin
  /// anew.
  Duration patience = milliseconds(5000);
  Duration longestPatience = milliseconds(40000);
};

/// When all nodes of a fleet start at once, nobody knows any member, and each node that read the
/// topics for itself would read as much as the whole fleet writes: n nodes before m replicas that
/// write r bytes a second take n * m * r from the store, which 1,000 nodes exceed twelve times at
/// 80 MB/s. So the first capable nodes of each zone claim to read for it, in one small topic with a
/// key a zone, and all others ask them. A claim decides nothing: two readers of a zone cost reads,
/// and the last claim counts.
class ReaderElection {
 public:
  /// What to do next.
  enum class Step : std::uint8_t {
    None,   ///< Nothing for now.
    List,   ///< List the claims.
    Claim,  ///< Write the own claim.
  };

  ReaderElection(std::string ownAddress, double capacity, ReaderElectionKnobs knobs,
                 std::uint64_t seed);

  /// The claims were listed. \param address of the zone's reader; empty: nobody claims.
  void onListed(const std::string& address, Instant now);
  /// The own claim stands.
  void onClaimed(Instant now);
  /// No answer came from this node.
  void onUnreachable(const std::string& address, Instant now);
  /// This node answered a question about the followed topics.
  void onAnswered(const std::string& address);
  /// This node lives, and could not answer: it has not listed the topics itself, or the store is
  /// busy.
  void onNoAnswer(const std::string& address, Instant now);
  /// No known reader answered: the claims are listed again.
  void onNoReader(Instant now);

  /// \return the zone's reader by its claim; empty when none is known or it was not reached.
  [[nodiscard]] std::string reader(Instant now) const;
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
  bool isSearching_ = true;        ///< The claims were not listed since a reader was missed.
  bool isListedForClaim_ = false;  ///< And again after the own delay.
  std::optional<Instant> claimAt_;
  Instant reviewAt_;
  Duration patience_;                    ///< See `ReaderElectionKnobs::patience`.
  std::optional<Instant> unansweredAt_;  ///< Since then the reader lives and has no answer.
  std::map<std::string, Instant> suspectUntil_;
};

}  // namespace gorsetrail::edge
