/// \file Pool of idle keep-alive client connections.
#pragma once

#include <chrono>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/time.h"
#include "http/endpoint.h"

namespace gorsetrail::http {

/// The oldest idle connection to an address is closed when this number is exceeded.
inline constexpr std::size_t kMaximumIdleConnectionsPerAddress = 16;
/// Longest time that a connection may be idle and still be reused.
inline constexpr std::chrono::seconds kMaximumIdleTime{30};

/// An established connection.
struct PooledConnection {
  Socket socket;
  Instant openedAt;
};

/// Idle keep-alive connections by address, bounded per address.
class ConnectionPool {
 public:
  /// Discards idle connections that have expired or that the peer closed, because a request
  /// written to a closed connection would end with an unknown outcome.
  /// \param openedBefore leaves connections in the pool that were opened then or later.
  /// \return an open idle connection to the address, or nothing when there is none.
  std::optional<PooledConnection> acquire(const std::string& address,
                                          Instant openedBefore = Instant::max());

  /// \return whether an unexpired connection is idle; the peer may still have closed it.
  [[nodiscard]] bool hasIdle(const std::string& address) const;

  /// Returns a connection to the pool. Its last response must have been read completely.
  /// \param idleTime how long the connection may be idle before it must not be reused.
  void release(const std::string& address, PooledConnection connection,
               std::chrono::steady_clock::duration idleTime = kMaximumIdleTime);

  /// Closes the idle connections to the address.
  void closeIdle(const std::string& address) { idle_.erase(address); }

 private:
  struct IdleConnection {
    PooledConnection connection;
    std::chrono::steady_clock::time_point usableUntil;
  };
  std::unordered_map<std::string, std::deque<IdleConnection>> idle_;
};

}  // namespace gorsetrail::http
