/// \file Keeps the claims of the zones' readers: lists them, and writes this node's own.
#pragma once

#include <functional>
#include <string>

#include "edge/member_table.h"
#include "edge/reader_election.h"
#include "logstore/log_store.h"
#include "logstore/persistent_store.h"
#include "services/timer_service.h"

namespace gorsetrail::edge {

/// Knobs of `TopicReaders`.
struct TopicReadersKnobs {
  /// Between two looks at what the election asks for, while a reader is looked for; small beside
  /// its delays.
  Duration period = milliseconds(50);
  /// And while there is one: a node wakes up for it twice a second.
  Duration restingPeriod = milliseconds(500);
  Duration patience = milliseconds(1000);
  /// After a call that failed the pause doubles from here up to `longestPause`, with jitter: 1,000
  /// nodes then ask a store that is slow or away 700 times a second at most.
  Duration firstPause = milliseconds(100);
  Duration longestPause = milliseconds(1500);
};

/// The node that runs `TopicReaders`.
struct ReaderNode {
  std::string address;  ///< Where other nodes ask for store calls.
  std::string zone;
  double capacity = 1.0;  ///< See `MemberRecord::capacity`.
};

/// Runs `ReaderElection` against the store. The claims stand in a topic of their own, key: the
/// zone, value: the reader's member record.
class TopicReaders {
 public:
  using OwnRecord = std::function<MemberRecord()>;
  /// Told when the zone's reader becomes another one.
  using OnReader = std::function<void(const std::string& address)>;

  /// \param store, timers outlive this object.
  TopicReaders(logstore::LogStore& store, services::TimerService& timers,
               logstore::ClockFunction clock, logstore::PartitionAddress claims, ReaderNode self,
               OwnRecord ownRecord, OnReader onReader, TopicReadersKnobs knobs, std::uint64_t seed);

  void start() { turn(); }
  [[nodiscard]] std::string reader() const { return election_.reader(clock_()); }
  [[nodiscard]] bool isReader() const { return election_.isReader(); }
  void onUnreachable(const std::string& address) { election_.onUnreachable(address, clock_()); }
  void onAnswered(const std::string& address) { election_.onAnswered(address); }
  void onNoAnswer(const std::string& address) { election_.onNoAnswer(address, clock_()); }
  void onNoReader() { election_.onNoReader(clock_()); }

 private:
  void turn();
  void list();
  void claim();
  void onFailure();
  void tellReader();

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
  std::string toldReader_;
  bool isUnderWay_ = false;
  Duration pause_;
  Instant pausedUntil_;
};

}  // namespace gorsetrail::edge
