#include "http/connection_pool.h"

#include <sys/socket.h>

#include <cerrno>
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

std::optional<Socket> ConnectionPool::acquire(const std::string& address) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) {
    return std::nullopt;
  }
  const auto now = std::chrono::steady_clock::now();
  std::deque<IdleConnection>& connections = found->second;
  while (!connections.empty()) {
    IdleConnection connection = std::move(connections.back());
    connections.pop_back();
    const bool fresh = now < connection.usableUntil;
    if (fresh && isStillIdle(connection.socket)) {
      return std::move(connection.socket);
    }
  }
  idle_.erase(found);
  return std::nullopt;
}

void ConnectionPool::release(const std::string& address, Socket socket,
                             std::chrono::steady_clock::duration idleTime) {
  std::deque<IdleConnection>& connections = idle_[address];
  connections.push_back({std::move(socket), std::chrono::steady_clock::now() + idleTime});
  if (connections.size() > kMaximumIdleConnectionsPerAddress) {
    connections.pop_front();
  }
}

}  // namespace gorsetrail::http
