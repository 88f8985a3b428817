/// \file Stand-in of a replica: event streams on streaming routes, whole answers elsewhere.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "record.h"
#include "store.h"
#include "wire.h"

namespace review {

struct ReplicaOptions {
  std::string id;
  std::string service;
  std::string zone;
  int slots = 12;
  /// Requests whose path begins with this are answered by a stream.
  std::string streamPrefix;
  int events = 10;             ///< Of a stream.
  Milliseconds eventPause{5};  ///< Before each event.
  Milliseconds workTime{3};    ///< Of a whole answer.
  /// Trouble: after each so many answers, bytes that belong to no request follow late, when the
  /// next request comes on the same connection. 0: never.
  int excessEvery = 0;
  std::string excess;
};

/// One request that a replica has begun to work on.
struct Run {
  std::string requestId;
  std::string replica;
  std::string lastEventId;
  std::string body;
};

/// What all replicas have run.
class RunLog {
 public:
  void add(Run run);
  [[nodiscard]] std::vector<Run> of(const std::string& requestId);
  [[nodiscard]] bool has(const std::string& requestId) { return !of(requestId).empty(); }

 private:
  std::mutex mutex_;
  std::multimap<std::string, Run> runs_;
};

class Replica {
 public:
  Replica(const std::string& ip, ReplicaOptions options, Store& store, RunLog& runs,
          Record& record);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// Ends as after a crash, for good: the store drops its entry after three heartbeats.
  void crash();

  /// \return the data of an event of the request's stream.
  static std::string eventData(const std::string& requestId, int number);
  /// \return the body of the whole answer to the request.
  [[nodiscard]] static std::string answerBody(const std::string& requestId);
  [[nodiscard]] int excessSent() const { return excessSent_; }
  /// \return the requests that are being worked on.
  [[nodiscard]] int running() const { return running_; }

 private:
  void heartbeatLoop();
  void writeEntry(int count);
  void serve(Connection& connection);
  bool answer(Connection& connection, const Request& request);
  bool stream(Connection& connection, const Request& request);
  [[nodiscard]] std::string ownHeaders(const std::string& requestId) const;

  ReplicaOptions options_;
  Store& store_;
  RunLog& runs_;
  Record& record_;
  std::atomic<int> answers_{0};
  std::atomic<int> excessSent_{0};
  std::atomic<int> running_{0};
  std::atomic<bool> stopped_{false};
  std::atomic<bool> crashed_{false};
  Server server_;
  std::thread heartbeat_;
};

}  // namespace review
