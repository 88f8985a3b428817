/// \file Idle client connections by address.
#pragma once

#include <chrono>
#include <deque>
#include <string>
#include <unordered_map>

#include "http/endpoint.h"

namespace gorsetrail::http {

/// Idle connections kept for one address.
inline constexpr std::size_t kMaximumIdlePerAddress = 16;
/// An idle connection older than this is closed when it is met.
inline constexpr std::chrono::seconds kMaximumIdleTime{30};

/// Bounded pool of idle keep-alive connections.
class ConnectionPool {
 public:
  /// \return an open idle connection to the address; nothing when there is none.
  /// Connections that the peer closed while they were idle are dropped here, before a byte of the
  /// next request is written: else that common case would end as an unknown outcome.
  std::optional<Socket> take(const std::string& address);

  /// \return whether `take` would probably find one.
  [[nodiscard]] bool hasIdle(const std::string& address) const;

  /// Keeps a connection whose last response was read whole.
  /// \param idleTime how long it may rest before it is no longer used.
  void give(const std::string& address, Socket socket,
            std::chrono::steady_clock::duration idleTime = kMaximumIdleTime);

  /// Closes the idle connections to the address.
  void drop(const std::string& address) { idle_.erase(address); }

 private:
  struct IdleConnection {
    Socket socket;
    std::chrono::steady_clock::time_point usableUntil;
  };
  std::unordered_map<std::string, std::deque<IdleConnection>> idle_;
};

}  // namespace gorsetrail::http
