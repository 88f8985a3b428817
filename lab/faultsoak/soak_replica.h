/// \file A replica for the soak: paced streams whose bytes tell whose they are, and its troubles.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "base/random.h"
#include "http/http_server.h"
#include "lab/faultsoak/promise_watcher.h"
#include "services/timer_service.h"

namespace gorsetrail::lab {

/// Shares of requests that a replica treats badly.
struct SoakReplicaTroubles {
  double refused = 0;     ///< It promises that it did not run them.
  double lostAnswer = 0;  ///< It runs them and closes without an answer.
  double cutStream = 0;   ///< It closes amid the stream.
};

class SoakReplica {
 public:
  static constexpr int kEventsOfStream = 4;

  /// Listens on a free port of 127.0.0.1. All arguments outlive this object.
  SoakReplica(boost::asio::io_context& context, services::TimerService& timers,
              PromiseWatcher& watcher, std::string id, std::uint64_t seed);

  [[nodiscard]] std::string address() const;
  [[nodiscard]] const std::string& id() const { return id_; }

  /// The process ends and the next one starts under the same id and address: runs under way are
  /// forgotten, their streams break off. The caller resets the connections.
  void startAgain() { ++life_; }

  /// \return the data of an event, which a client adds to the history.
  static std::string eventData(const std::string& requestId, int number);
  /// \return all bytes of a request's whole stream.
  static std::string wholeStream(const std::string& requestId);
  /// \return the bytes of a request's whole plain answer.
  static std::string plainAnswer(const std::string& requestId);

  SoakReplicaTroubles troubles;
  /// Called with each request that is meant for this replica, before anything else.
  std::function<void()> onArrival;
  /// Optional: called with the id of the replica that a request was meant for instead.
  std::function<void(const std::string& expected)> onMisdirected;

 private:
  struct Stream;

  void onRequest(const http::ServerRequest& request, http::ResponseWriterPtr writer);
  void continueStream(const std::shared_ptr<Stream>& stream);

  services::TimerService& timers_;
  PromiseWatcher& watcher_;
  std::string id_;
  RandomSource random_;
  std::uint64_t life_ = 0;  ///< Starts before this one.
  http::HttpServerPtr server_;
};

}  // namespace gorsetrail::lab
