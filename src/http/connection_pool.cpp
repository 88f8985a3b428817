#include "http/connection_pool.h"

#include <sys/socket.h>

#include <cerrno>
#include <cstddef>
#include <utility>

namespace gorsetrail::http {
namespace {

/// A readable idle connection has been closed by the peer or holds unexpected bytes; it must not be
/// reused.
bool isStillIdle(Socket& socket) {
  char byte = 0;
  const ssize_t got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

bool ConnectionPool::hasIdle(const std::string& address) const {
  const auto found = idle_.find(address);
  if (found == idle_.end() || found->second.empty()) {
    return false;
  }
  return std::chrono::steady_clock::now() < found->second.back().usableUntil;
}

std::optional<PooledConnection> ConnectionPool::acquire(const std::string& address,
                                                        Instant openedBefore) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) {
    return std::nullopt;
  }
  const auto now = std::chrono::steady_clock::now();
  std::deque<IdleConnection>& connections = found->second;
  std::optional<PooledConnection> acquired;
  for (std::size_t index = connections.size(); index > 0 && !acquired; --index) {
    IdleConnection& candidate = connections[index - 1];
    if (candidate.connection.openedAt >= openedBefore) {
      continue;
    }
    if (now < candidate.usableUntil && isStillIdle(candidate.connection.socket)) {
      acquired = std::move(candidate.connection);
    }
    connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(index - 1));
  }
  if (connections.empty()) {
    idle_.erase(found);
  }
  return acquired;
}

void ConnectionPool::release(const std::string& address, PooledConnection connection,
                             std::chrono::steady_clock::duration idleTime) {
  std::deque<IdleConnection>& connections = idle_[address];
  connections.push_back({std::move(connection), std::chrono::steady_clock::now() + idleTime});
  if (connections.size() > kMaximumIdleConnectionsPerAddress) {
    connections.pop_front();
  }
}

}  // namespace gorsetrail::http
