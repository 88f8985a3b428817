#include "wire.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <stdexcept>

namespace review {
namespace {

sockaddr_in socketAddress(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

std::uint16_t portOf(int socket) {
  sockaddr_in address{};
  socklen_t length = sizeof address;
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

int bindTo(const std::string& ip, std::uint16_t port) {
  const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = socketAddress(ip, port);
  if (bind(made, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(made);
    throw std::runtime_error("cannot bind to " + ip);
  }
  return made;
}

void sendWithoutDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::string trimmed(const std::string& text) {
  const std::size_t begin = text.find_first_not_of(" \t\r");
  const std::size_t end = text.find_last_not_of(" \t\r");
  return begin == std::string::npos ? std::string() : text.substr(begin, end - begin + 1);
}

}  // namespace

std::string Head::header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) {
      return value;
    }
  }
  return {};
}

std::string Request::query(const std::string& name) const {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t next = target.find('&', at + 1);
    const std::string parameter = target.substr(at + 1, next - at - 1);
    const std::size_t equals = parameter.find('=');
    if (equals != std::string::npos && parameter.substr(0, equals) == name) {
      return parameter.substr(equals + 1);
    }
    at = next;
  }
  return {};
}

Connection::~Connection() { close(socket_); }

void Connection::shutdown() const { ::shutdown(socket_, SHUT_RDWR); }

bool Connection::waitReadable(Milliseconds patience) const {
  if (!buffer_.empty()) {
    return true;
  }
  pollfd waiting{socket_, POLLIN, 0};
  return poll(&waiting, 1, static_cast<int>(std::max<long>(0, patience.count()))) > 0;
}

bool Connection::isClosedByPeer() const {
  char byte = 0;
  const ssize_t got = recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool Connection::fill(Milliseconds patience) {
  pollfd waiting{socket_, POLLIN, 0};
  if (poll(&waiting, 1, static_cast<int>(std::max<long>(0, patience.count()))) <= 0) {
    return false;
  }
  char part[16384];
  const ssize_t got = recv(socket_, part, sizeof part, 0);
  if (got <= 0) {
    return false;
  }
  buffer_.append(part, static_cast<std::size_t>(got));
  return true;
}

bool Connection::readLine(Milliseconds patience, std::string& line) {
  std::size_t end = buffer_.find('\n');
  while (end == std::string::npos) {
    if (!fill(patience)) {
      return false;
    }
    end = buffer_.find('\n');
  }
  line = trimmed(buffer_.substr(0, end));
  buffer_.erase(0, end + 1);
  return true;
}

std::optional<Head> Connection::readHead(Milliseconds patience) {
  Head head;
  if (!readLine(patience, head.startLine)) {
    return std::nullopt;
  }
  std::string line;
  while (readLine(patience, line)) {
    if (line.empty()) {
      return head;
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      head.headers.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
    }
  }
  return std::nullopt;
}

bool Connection::readBytes(std::size_t count, Milliseconds patience,
                           const std::function<void(const std::string&)>& onPart) {
  while (count > 0) {
    if (buffer_.empty() && !fill(patience)) {
      return false;
    }
    const std::string part = buffer_.substr(0, count);
    buffer_.erase(0, part.size());
    count -= part.size();
    onPart(part);
  }
  return true;
}

bool Connection::readBody(const Head& head, Milliseconds patience,
                          const std::function<void(const std::string&)>& onPart) {
  if (strcasecmp(head.header("Transfer-Encoding").c_str(), "chunked") != 0) {
    const std::string length = head.header("Content-Length");
    return readBytes(std::strtoull(length.c_str(), nullptr, 10), patience, onPart);
  }
  std::string line;
  while (readLine(patience, line)) {
    constexpr int kHexadecimal = 16;
    const std::size_t size = std::strtoull(line.c_str(), nullptr, kHexadecimal);
    if (size > 0 && !readBytes(size, patience, onPart)) {
      return false;
    }
    if (!readLine(patience, line)) {
      return false;
    }
    if (size == 0) {
      return true;
    }
  }
  return false;
}

bool Connection::write(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t got = send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (got <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(got);
  }
  return true;
}

std::unique_ptr<Connection> connectTo(const std::string& address, Milliseconds patience) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return nullptr;
  }
  const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  auto connection = std::make_unique<Connection>(made);
  const auto port = static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1));
  const sockaddr_in target = socketAddress(address.substr(0, colon), port);
  if (connect(made, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0) {
    pollfd waiting{made, POLLOUT, 0};
    int error = 0;
    socklen_t length = sizeof error;
    if (errno != EINPROGRESS || poll(&waiting, 1, static_cast<int>(patience.count())) <= 0 ||
        getsockopt(made, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
      return nullptr;
    }
  }
  fcntl(made, F_SETFL, fcntl(made, F_GETFL) & ~O_NONBLOCK);
  sendWithoutDelay(made);
  return connection;
}

std::optional<Request> readRequest(Connection& connection, Milliseconds patience) {
  std::optional<Head> head = connection.readHead(patience);
  if (!head) {
    return std::nullopt;
  }
  Request request;
  static_cast<Head&>(request) = std::move(*head);
  const std::size_t first = request.startLine.find(' ');
  const std::size_t second = request.startLine.rfind(' ');
  if (first == std::string::npos || second <= first) {
    return std::nullopt;
  }
  request.method = request.startLine.substr(0, first);
  request.target = request.startLine.substr(first + 1, second - first - 1);
  const bool isWhole = connection.readBody(
      request, patience, [&request](const std::string& part) { request.body += part; });
  return isWhole ? std::optional(std::move(request)) : std::nullopt;
}

std::string responseText(int status, const std::string& headerLines, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " .\r\n" + headerLines +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::uint16_t freePort(const std::string& ip) {
  const int made = bindTo(ip, 0);
  const std::uint16_t port = portOf(made);
  close(made);
  return port;
}

Server::Server(const std::string& ip, Serve serve)
    : serve_(std::move(serve)), listener_(bindTo(ip, 0)) {
  listen(listener_, SOMAXCONN);
  address_ = ip + ":" + std::to_string(portOf(listener_));
  acceptor_ = std::thread([this] { acceptLoop(); });
}

void Server::acceptLoop() {
  while (!stopped_) {
    pollfd waiting{listener_, POLLIN, 0};
    constexpr int kStopCheckMs = 100;
    if (poll(&waiting, 1, kStopCheckMs) <= 0) {
      continue;
    }
    const int accepted = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      continue;
    }
    sendWithoutDelay(accepted);
    const auto connection = std::make_shared<Connection>(accepted);
    const std::lock_guard lock(mutex_);
    connections_.push_back(connection);
    threads_.emplace_back([this, connection] { serve_(*connection); });
  }
}

void Server::stop() {
  if (stopped_.exchange(true)) {
    return;
  }
  acceptor_.join();
  close(listener_);
  {
    const std::lock_guard lock(mutex_);
    for (const auto& weak : connections_) {
      if (const auto connection = weak.lock()) {
        connection->shutdown();
      }
    }
  }
}

Server::~Server() {
  stop();
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

}  // namespace review
