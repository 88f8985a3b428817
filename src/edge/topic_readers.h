/// \file Runs the election of the zone's topic reader against the store.
#pragma once

#include <functional>
#include <string>

#include "edge/member_table.h"
#include "edge/reader_election.h"
#include "logstore/log_store.h"
#include "logstore/retrying_store.h"
#include "services/timer_service.h"

namespace gorsetrail::edge {

/// Settings of `TopicReaders`.
struct TopicReadersKnobs {
  /// Polling interval of the election while no reader is known. Short compared with the claim
  /// delays.
  Duration activePeriod = milliseconds(50);
  /// Polling interval while a reader is known.
  Duration idlePeriod = milliseconds(500);
  Duration callTimeout = milliseconds(1000);  ///< Of one store call.
  /// Backoff after a failed call, with jitter. Doubles up to `maximumBackoff`, to limit the calls
  /// of a large fleet to a slow or unavailable store.
  Duration initialBackoff = milliseconds(100);
  Duration maximumBackoff = milliseconds(1500);
};

/// The node that takes part in the election.
struct ReaderNode {
  std::string address;  ///< Relay address for store calls of other nodes.
  std::string zone;
  double capacity = 1.0;  ///< See `MemberRecord::capacity`.
};

/// Lists and writes the claims of `ReaderElection` in the store. Claims have a topic of their own;
/// key: the zone, value: the reader's member record.
class TopicReaders {
 public:
  /// Returns the member record that this node writes as its claim.
  using OwnRecord = std::function<MemberRecord()>;
  /// Called when the zone's reader has changed.
  using OnReader = std::function<void(const std::string& address)>;

  /// `store` and `timers` outlive this object.
  ///
  /// \param claims partition of the topic with the claims.
  TopicReaders(logstore::LogStore& store, services::TimerService& timers,
               logstore::ClockFunction clock, logstore::PartitionAddress claims, ReaderNode self,
               OwnRecord ownRecord, OnReader onReader, TopicReadersKnobs knobs, std::uint64_t seed);

  /// Starts polling the election.
  void start() { pollLoop(); }
  /// \return the zone's claimed reader; empty if there is none or it was unreachable.
  [[nodiscard]] std::string reader() const { return election_.reader(clock_()); }
  /// \return whether this node is the claimed reader.
  [[nodiscard]] bool isReader() const { return election_.isReader(); }
  // Reports about readers, passed to the election; see `ReaderElection`.
  void onUnreachable(const std::string& address) { election_.onUnreachable(address, clock_()); }
  void onAnswered(const std::string& address) { election_.onAnswered(address); }
  void onNoAnswer(const std::string& address) { election_.onNoAnswer(address, clock_()); }
  void onNoReader() { election_.onNoReader(clock_()); }

 private:
  void pollLoop();
  void list();
  void claim();
  void onFailure();
  void reportReader();

  logstore::LogStore& store_;
  services::TimerService& timers_;
  logstore::ClockFunction clock_;
  logstore::PartitionAddress claims_;
  std::string zone_;
  OwnRecord ownRecord_;
  OnReader onReader_;
  TopicReadersKnobs knobs_;
  RandomSource random_;
  ReaderElection election_;
  std::string reportedReader_;
  bool isCallPending_ = false;
  Duration backoff_;
  Instant backoffUntil_;
};

}  // namespace gorsetrail::edge
