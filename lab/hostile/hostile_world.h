/// \file A node process between stand-ins of the store and of replicas, for crowds of hostile
/// clients.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http/http_client.h"
#include "lab/hostile/holding_replica.h"
#include "lab/hostile/hostile_crowd.h"
#include "lab/hostile/node_process.h"
#include "lab/hostile/process_figures.h"
#include "lab/platform/store_stand_in.h"

namespace gorsetrail::lab {

/// Limits of the configuration that the world publishes.
struct WorldLimits {
  std::size_t maximumHeadBytes = std::size_t{16} * 1024;
  std::size_t maximumBodyBytes = std::size_t{4} * 1024 * 1024;
  unsigned headTimeoutMs = 10000;
  unsigned idleTimeoutMs = 60000;
};

/// What a sound client got.
struct SoundAnswer {
  unsigned status = 0;  ///< 0: no answer.
  std::vector<http::Header> headers;
  std::string body;
};

class HostileWorld {
 public:
  static constexpr char kService[] = "m";  ///< Of all routes.

  /// Starts a node and waits until it serves.
  /// \param settings the store's address is filled in.
  /// \param directory for settings and logs; is created.
  HostileWorld(NodeProcessSettings settings, const std::string& directory);
  ~HostileWorld();
  HostileWorld(const HostileWorld&) = delete;
  HostileWorld& operator=(const HostileWorld&) = delete;

  void publish(const WorldLimits& limits);
  /// Registers a replica of the routes' service, or removes it if `registration` is empty. The node
  /// reads it later.
  void registerReplica(const std::string& id, const std::string& registration);
  /// Starts the node's process again.
  void restart();
  /// Runs the crowd until the node has taken what it takes: nothing moves for a second.
  void playUntilQuiet(const HostileCrowd& crowd);
  /// Runs the loop until the condition holds. \return whether it did, within half a minute.
  bool runUntil(const std::function<bool()>& isTrue);
  /// Sends one request and waits for its end.
  SoundAnswer send(http::Request request);
  /// Sends an ordinary request, and again while the node says that it should come back.
  SoundAnswer askOrdinarily(const std::string& path = "/safe/1", std::size_t bodyBytes = 100);
  /// \return an ordinary request with an id of its own.
  [[nodiscard]] http::Request ordinaryRequest(const std::string& path, std::size_t bodyBytes);

  [[nodiscard]] boost::asio::io_context& context() { return context_; }
  [[nodiscard]] NodeProcess& node() { return *node_; }
  [[nodiscard]] const NodeProcessSettings& settings() const { return settings_; }
  [[nodiscard]] std::vector<std::unique_ptr<HoldingReplica>>& replicas() { return replicas_; }
  /// \return the sum over replicas of runs of the request.
  [[nodiscard]] int runsOf(const std::string& requestId) const;
  /// \return the greatest sum seen of resident memory and of bytes that wait to be read.
  [[nodiscard]] std::size_t peakBytes() const {
    return peakUnreadBytes_ + peakMemoryOf(node_->id());
  }
  [[nodiscard]] std::size_t peakUnreadBytes() const { return peakUnreadBytes_; }
  [[nodiscard]] std::size_t peakDescriptors() const { return peakDescriptors_; }

 private:
  void observe();

  NodeProcessSettings settings_;
  std::string directory_;
  boost::asio::io_context context_{1};
  StoreStandIn store_;
  http::HttpClientPtr client_;
  std::vector<std::unique_ptr<HoldingReplica>> replicas_;
  std::unique_ptr<NodeProcess> node_;
  int version_ = 0;
  int nextRequest_ = 0;
  std::size_t peakUnreadBytes_ = 0;
  std::size_t peakDescriptors_ = 0;
};

}  // namespace gorsetrail::lab
