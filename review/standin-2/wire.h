/// \file A small blocking HTTP/1.1 for the stand-ins: one thread a connection, plain sockets.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

struct Head {
  std::string startLine;
  std::vector<std::pair<std::string, std::string>> headers;

  /// \return the value of the first header of that name in any letter case, or an empty string.
  [[nodiscard]] std::string header(const std::string& name) const;
};

struct Request : Head {
  std::string method;
  std::string target;
  std::string body;

  [[nodiscard]] std::string path() const { return target.substr(0, target.find('?')); }
  /// \return the value of a query parameter, or an empty string.
  [[nodiscard]] std::string query(const std::string& name) const;
};

/// A connected socket with a read buffer. Not copyable; closes the socket when destroyed.
class Connection {
 public:
  explicit Connection(int socket) : socket_(socket) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// \return nothing when the peer closes, breaks off or sends nothing for `patience`.
  std::optional<Head> readHead(Milliseconds patience);
  /// Reads a body of known length, or in chunks. \param onPart called with each part.
  /// \return whether the body is complete.
  bool readBody(const Head& head, Milliseconds patience,
                const std::function<void(const std::string&)>& onPart);
  bool write(const std::string& bytes);
  /// \return whether the peer has closed the connection.
  [[nodiscard]] bool isClosedByPeer() const;
  /// \return whether a byte of the peer is waiting or comes within `patience`.
  bool waitReadable(Milliseconds patience) const;
  void shutdown() const;

 private:
  bool fill(Milliseconds patience);
  bool readLine(Milliseconds patience, std::string& line);
  bool readBytes(std::size_t count, Milliseconds patience,
                 const std::function<void(const std::string&)>& onPart);

  int socket_;
  std::string buffer_;
};

/// Connects to `ip:port`. \return null when that fails.
std::unique_ptr<Connection> connectTo(const std::string& address, Milliseconds patience);

std::optional<Request> readRequest(Connection& connection, Milliseconds patience);
std::string responseText(int status, const std::string& headerLines, const std::string& body);

/// \return a port of the IP address that was free a moment ago.
std::uint16_t freePort(const std::string& ip);

/// Accepts connections on a free port and serves each in a thread of its own.
class Server {
 public:
  using Serve = std::function<void(Connection&)>;

  Server(const std::string& ip, Serve serve);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  [[nodiscard]] const std::string& address() const { return address_; }
  /// Ends all connections and listens no more, as a process does that ends.
  void stop();

 private:
  void acceptLoop();

  Serve serve_;
  int listener_ = -1;
  std::string address_;
  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  std::vector<std::weak_ptr<Connection>> connections_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

}  // namespace review
