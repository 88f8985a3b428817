#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>

namespace review {
namespace {

const Clock::time_point kStart = Clock::now();

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return text;
}

int remainingMs(Clock::time_point deadline) {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
  return static_cast<int>(std::max<std::int64_t>(0, left));
}

sockaddr_in addressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

std::pair<std::string, int> split(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  return {address.substr(0, colon), std::atoi(address.c_str() + colon + 1)};
}

int connectTo(const std::string& address, int limitMs) {
  const auto [ip, port] = split(address);
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in target = addressOf(ip, port);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
    pollfd waiting{socket, POLLOUT, 0};
    int error = errno;
    socklen_t length = sizeof(error);
    if (error != EINPROGRESS || ::poll(&waiting, 1, limitMs) != 1 ||
        ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
      ::close(socket);
      return -1;
    }
  }
  ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return socket;
}

/// Listens on the port, or on a free one. \param address receives `ip:port`.
int listenOn(const std::string& ip, std::string& address, int port = 0) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in bound = addressOf(ip, port);
  socklen_t length = sizeof(bound);
  if (::bind(listener, reinterpret_cast<sockaddr*>(&bound), length) != 0 ||
      ::listen(listener, 512) != 0 ||
      ::getsockname(listener, reinterpret_cast<sockaddr*>(&bound), &length) != 0) {
    std::perror("listen");
    std::_Exit(2);
  }
  address = ip + ":" + std::to_string(ntohs(bound.sin_port));
  return listener;
}

std::string queryValue(const std::string& target, const std::string& name) {
  const std::string key = name + "=";
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    if (target.compare(at + 1, key.size(), key) == 0) {
      const std::size_t begin = at + 1 + key.size();
      return target.substr(begin, target.find('&', begin) - begin);
    }
    at = target.find('&', at + 1);
  }
  return {};
}

void appendBigEndian(std::string& out, std::uint64_t value, int bytes) {
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>((value >> shift) & 0xffU));
  }
}

std::uint64_t bigEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes) {
    value = (value << 8U) | static_cast<std::uint8_t>(byte);
  }
  return value;
}

std::string base64(const std::string& text) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t at = 0; at < text.size(); at += 3) {
    std::uint32_t bits = 0;
    for (std::size_t index = 0; index < 3; ++index) {
      bits = (bits << 8U) |
             (at + index < text.size() ? static_cast<std::uint8_t>(text[at + index]) : 0U);
    }
    for (std::size_t index = 0; index < 4; ++index) {
      out.push_back(at + index <= text.size() ? kDigits[(bits >> (18U - 6U * index)) & 63U] : '=');
    }
  }
  return out;
}

std::string quoted(const std::string& text) {
  std::string out = "\"";
  for (const char letter : text) {
    if (letter == '"' || letter == '\\') {
      out.push_back('\\');
    }
    out.push_back(letter);
  }
  return out + "\"";
}

std::string chunk(std::string_view bytes) {
  std::ostringstream out;
  out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return out.str();
}

}  // namespace

std::int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - kStart).count();
}

void sleepMs(std::int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

Record::Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}

Record::~Record() {
  if (file_ != nullptr) {
    std::fclose(file_);
  }
}

void Record::line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  if (file_ != nullptr) {
    std::fprintf(file_, "%8.3f %s\n", static_cast<double>(nowMs()) / 1000.0, text.c_str());
    std::fflush(file_);
  }
}

std::string Message::header(std::string_view name) const {
  const std::string wanted = lower(std::string(name));
  for (const auto& [key, value] : headers) {
    if (lower(key) == wanted) {
      return value;
    }
  }
  return {};
}

std::string Message::method() const { return startLine.substr(0, startLine.find(' ')); }

std::string Message::target() const {
  const std::size_t begin = startLine.find(' ') + 1;
  return startLine.substr(begin, startLine.find(' ', begin) - begin);
}

int Message::status() const { return std::atoi(startLine.c_str() + startLine.find(' ') + 1); }

Connection::~Connection() {
  if (reset_) {
    const linger now{1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  }
  ::close(socket_);
}

void Connection::reset() { reset_ = true; }

bool Connection::send(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool Connection::fill(Clock::time_point deadline) {
  pollfd waiting{socket_, POLLIN, 0};
  if (::poll(&waiting, 1, remainingMs(deadline)) != 1) {
    return false;
  }
  char bytes[16384];
  const ssize_t got = ::recv(socket_, bytes, sizeof(bytes), 0);
  if (got <= 0) {
    return false;
  }
  buffer_.append(bytes, static_cast<std::size_t>(got));
  return true;
}

bool Connection::readHead(Message& message, Clock::time_point deadline) {
  std::size_t end = buffer_.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!fill(deadline)) {
      return false;
    }
    end = buffer_.find("\r\n\r\n");
  }
  std::istringstream head(buffer_.substr(0, end + 2));
  buffer_.erase(0, end + 4);
  message = {};
  std::string line;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const std::size_t colon = line.find(':');
    if (message.startLine.empty()) {
      message.startLine = line;
    } else if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers.emplace_back(line.substr(0, colon),
                                   value == std::string::npos ? std::string() : line.substr(value));
    }
  }
  return true;
}

bool Connection::readBody(const Message& head, Clock::time_point deadline,
                          const std::function<void(std::string_view)>& onPart) {
  if (lower(head.header("Transfer-Encoding")) == "chunked") {
    while (true) {
      std::size_t end = buffer_.find("\r\n");
      while (end == std::string::npos) {
        if (!fill(deadline)) {
          return false;
        }
        end = buffer_.find("\r\n");
      }
      const std::size_t size = std::strtoull(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < end + 2 + size + 2) {
        if (!fill(deadline)) {
          return false;
        }
      }
      if (size > 0) {
        onPart(std::string_view(buffer_).substr(end + 2, size));
      }
      buffer_.erase(0, end + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }
  const std::string length = head.header("Content-Length");
  if (!length.empty()) {
    const std::size_t size = std::strtoull(length.c_str(), nullptr, 10);
    while (buffer_.size() < size) {
      if (!fill(deadline)) {
        return false;
      }
    }
    onPart(std::string_view(buffer_).substr(0, size));
    buffer_.erase(0, size);
    return true;
  }
  return true;
}

bool Connection::readMessage(Message& message, Clock::time_point deadline) {
  return readHead(message, deadline) &&
         readBody(message, deadline, [&message](std::string_view part) { message.body += part; });
}

bool Connection::isClosedByPeer() const {
  char byte = 0;
  const ssize_t got = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

Server::Server(const std::string& ip, Handler handler) : handler_(std::move(handler)) {
  listener_ = listenOn(ip, address_);
  thread_ = std::thread([this] { acceptLoop(); });
}

Server::~Server() {
  stopped_ = true;
  ::shutdown(listener_, SHUT_RDWR);
  thread_.join();
  ::close(listener_);
}

void Server::acceptLoop() {
  while (!stopped_) {
    const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      continue;
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::thread([this, socket] {
      Connection connection(socket);
      Message request;
      const auto idle = std::chrono::seconds(120);
      while (!stopped_ && connection.readMessage(request, Clock::now() + idle) &&
             handler_(request, connection)) {
      }
    }).detach();
  }
}

Proxy::Proxy(const std::string& ip, std::string target) : target_(std::move(target)) {
  listener_ = listenOn(ip, address_);
  thread_ = std::thread([this] { acceptLoop(); });
}

Proxy::~Proxy() {
  stopped_ = true;
  setCut(true);
  thread_.join();
}

void Proxy::setCut(bool isCut) {
  const std::lock_guard lock(mutex_);
  if (isCut_.exchange(isCut) == isCut) {
    return;
  }
  if (isCut) {
    ::shutdown(listener_, SHUT_RDWR);
    ::close(listener_);
    listener_ = -1;
  } else {
    listener_ = listenOn(split(address_).first, address_, split(address_).second);
  }
}

void Proxy::acceptLoop() {
  while (!stopped_) {
    int listener = -1;
    {
      const std::lock_guard lock(mutex_);
      listener = listener_;
    }
    pollfd waiting{listener, POLLIN, 0};
    constexpr int kCheckMs = 5;
    if (listener < 0 || ::poll(&waiting, 1, kCheckMs) != 1) {
      sleepMs(listener < 0 ? kCheckMs : 0);
      continue;
    }
    const std::lock_guard lock(mutex_);
    const int client =
        listener_ < 0 ? -1 : ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (client >= 0) {
      ::fcntl(client, F_SETFL, ::fcntl(client, F_GETFL) & ~O_NONBLOCK);
      std::thread([this, client] { forward(client); }).detach();
    }
  }
}

void Proxy::forward(int client) {
  Connection near(client);
  const int server = isCut_ ? -1 : connectTo(target_, 1000);
  if (server < 0) {
    near.reset();
    return;
  }
  Connection far(server);
  const int on = 1;
  ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  char bytes[16384];
  while (!stopped_) {
    pollfd waiting[2] = {{client, POLLIN, 0}, {server, POLLIN, 0}};
    constexpr int kCheckMs = 5;
    ::poll(waiting, 2, kCheckMs);
    if (isCut_) {
      near.reset();
      far.reset();
      return;
    }
    for (int side = 0; side < 2; ++side) {
      if (waiting[side].revents == 0) {
        continue;
      }
      const ssize_t got = ::recv(waiting[side].fd, bytes, sizeof(bytes), 0);
      Connection& other = side == 0 ? far : near;
      if (got < 0) {
        other.reset();  // A reset is passed on as one.
      }
      if (got <= 0 || !other.send({bytes, static_cast<std::size_t>(got)})) {
        return;
      }
    }
  }
}

bool sendResponse(Connection& connection, int status, const Headers& headers,
                  const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  return connection.send(text);
}

Store::Store(const std::string& ip)
    : server_(std::make_unique<Server>(ip, [this](const Message& request, Connection& connection) {
        return handle(request, connection);
      })) {}

Store::Partition& Store::partition(const std::string& topic, const std::string& number) {
  const std::lock_guard lock(mutex_);
  auto& found = partitions_[{topic, number}];
  if (!found) {
    found = std::make_unique<Partition>();
  }
  return *found;
}

void Store::put(const std::string& topic, const std::string& key, const std::string& value) {
  Partition& log = partition(topic, "0");
  const std::lock_guard lock(mutex_);
  log.records.push_back(std::string(1, static_cast<char>(key.size())) + key + value);
  appended_.notify_all();
}

bool Store::handle(const Message& request, Connection& connection) {
  while (isSilent) {
    sleepMs(20);
    if (connection.isClosedByPeer()) {
      return false;
    }
    if (!isSilent) {
      return false;  // A call that was not answered stays without an answer.
    }
  }
  sleepMs(answerMs);
  const std::string target = request.target();
  const std::string path = target.substr(0, target.find('?'));
  Partition& log = partition(queryValue(target, "topic"), queryValue(target, "part"));
  const Headers json = {{"Content-Type", "application/json"}};
  if (path == "/v1/log-append") {
    return sendResponse(connection, 200, json, append(log, request.body));
  }
  if (path == "/v1/log-read") {
    const std::string maximum = queryValue(target, "max_kb");
    const std::uint64_t bytes = (maximum.empty() ? 1024 : std::stoull(maximum)) * 1024;
    const std::string wait = queryValue(target, "waitMs");
    const std::string body =
        read(log, std::strtoull(queryValue(target, "rangeStart").c_str(), nullptr, 10), bytes,
             wait.empty() ? 0 : std::atoi(wait.c_str()));
    return sendResponse(connection, 200, {{"Content-Type", "application/octet-stream"}}, body);
  }
  if (path == "/v1/log-newest") {
    return sendResponse(connection, 200, json, newest(log));
  }
  return sendResponse(connection, 404, json, "{}");
}

std::string Store::append(Partition& log, const std::string& body) {
  const std::lock_guard turn(log.turn);
  sleepMs(appendMs);
  const std::lock_guard lock(mutex_);
  const std::size_t first = log.records.size();
  std::string_view rest = body;
  while (rest.size() >= 4) {
    const std::uint64_t length = bigEndian(rest.substr(0, 4));
    log.records.emplace_back(rest.substr(4, length));
    rest.remove_prefix(std::min<std::size_t>(rest.size(), 4 + length));
  }
  appended_.notify_all();
  return "{\"offset\":" + std::to_string(first) + ",\"end\":" + std::to_string(log.records.size()) +
         "}";
}

std::string Store::read(Partition& log, std::uint64_t start, std::uint64_t maximumBytes,
                        int waitMs) {
  std::unique_lock lock(mutex_);
  appended_.wait_for(lock, std::chrono::milliseconds(waitMs),
                     [&] { return log.records.size() > start; });
  std::string body;
  appendBigEndian(body, log.records.size(), 8);
  appendBigEndian(body, 0, 8);
  std::size_t bytes = 0;
  for (std::uint64_t at = start; at < log.records.size(); ++at) {
    bytes += 4 + log.records[at].size();
    if (at > start && bytes > maximumBytes) {
      break;
    }
    appendBigEndian(body, log.records[at].size(), 4);
    body += log.records[at];
  }
  return body;
}

std::string Store::newest(Partition& log) {
  const std::lock_guard lock(mutex_);
  std::map<std::string, std::pair<std::string, std::size_t>> byKey;
  for (std::size_t at = 0; at < log.records.size(); ++at) {
    const std::string& record = log.records[at];
    const std::size_t length = record.empty() ? 0 : static_cast<std::uint8_t>(record[0]);
    const std::string key = record.substr(1, length);
    const std::string value = record.substr(1 + length);
    if (value.empty()) {
      byKey.erase(key);
    } else {
      byKey[key] = {value, at};
    }
  }
  std::string items;
  for (const auto& [key, entry] : byKey) {
    items += (items.empty() ? "" : ",") + std::string("{\"privateKey\":") + quoted(key) +
             ",\"value\":\"" + base64(entry.first) +
             "\",\"offset\":" + std::to_string(entry.second) + "}";
  }
  return "{\"items\":[" + items +
         "],\"hasMore\":false,\"end\":" + std::to_string(log.records.size()) + "}";
}

Replica::Replica(Store& store, const std::string& ip, std::string id, std::string service,
                 std::string zone, int slots, Work work)
    : store_(store),
      id_(std::move(id)),
      service_(std::move(service)),
      zone_(std::move(zone)),
      slots_(slots),
      work_(std::move(work)),
      server_(std::make_unique<Server>(ip,
                                       [this](const Message& request, Connection& connection) {
                                         return handle(request, connection);
                                       })),
      proxy_(std::make_unique<Proxy>(ip, server_->address())),
      beats_([this] { beatLoop(); }) {}

Replica::~Replica() {
  stopped_ = true;
  beats_.join();
}

void Replica::beatLoop() {
  constexpr int kBeatMs = 1200;
  for (std::uint64_t count = 1; !stopped_; ++count) {
    store_.put("keyed.servers", id_,
               "{\"service\":" + quoted(service_) + ",\"address\":" + quoted(proxy_->address()) +
                   ",\"zone\":" + quoted(zone_) +
                   ",\"version\":\"v1\",\"slots\":" + std::to_string(slots_) +
                   ",\"state\":\"ready\",\"coldRemainingMs\":0,"
                   "\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                   "\"callSeq\":" +
                   std::to_string(count) + "}");
    for (int waited = 0; waited < kBeatMs && !stopped_; waited += 50) {
      sleepMs(50);
    }
  }
}

bool Replica::handle(const Message& request, Connection& connection) {
  const std::string expected = request.header("Gorsetrail-Expect-Instance");
  if (!expected.empty() && expected != id_) {
    return sendResponse(connection, 421,
                        {{"Gorsetrail-Not-Executed", "1"}, {"Gorsetrail-Instance-Id", id_}}, {});
  }
  if (request.target() == "/healthz") {
    return sendResponse(connection, 200, {{"Gorsetrail-Instance-Id", id_}}, {});
  }
  const Run run{request.header("Gorsetrail-Request-Id"), id_, request.header("Last-Event-Id"),
                request.body};
  return work_(run, request, connection);
}

std::string sealOf(const Run& run) { return run.replicaId + "." + run.requestId; }

bool beginStream(Connection& connection, const Run& run) {
  return connection.send(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nGorsetrail-Request-Id: " +
      run.requestId + "\r\nGorsetrail-Response-Seal: " + sealOf(run) +
      "\r\nGorsetrail-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
}

bool sendEvent(Connection& connection, int number, const std::string& data) {
  return !connection.isClosedByPeer() &&
         connection.send(chunk("id: " + std::to_string(number) + "\ndata: " + data + "\n\n"));
}

bool endStream(Connection& connection) { return connection.send("0\r\n\r\n"); }

Node::Node(const std::string& directory, std::string name, std::string ip, std::string zone,
           const std::vector<std::string>& seeds, const std::string& storeAddress, int memoryMb)
    : name_(std::move(name)),
      ip_(std::move(ip)),
      settingsFile_(directory + "/" + name_ + ".toml"),
      logFile_(directory + "/" + name_ + ".log") {
  std::string seedList;
  for (const std::string& seed : seeds) {
    seedList += (seedList.empty() ? "\"" : ",\"") + seed + "\"";
  }
  std::ofstream(settingsFile_)
      << "nodeName = \"" << name_ << "\"\nrole = \"edge\"\nmachineClass = \"edge\"\n"
      << "serves = [\"edge\",\"control\",\"directory\"]\nip = \"" << ip_ << "\"\nzone = \"" << zone
      << "\"\nregion = \"r\"\ninternalPorts = [7380,7395]\nseeds = [" << seedList
      << "]\nbootstrap = true\ncountsAsLoss = false\ndiscovery = \"platform\"\nentry = "
         "\"directory\"\nheartbeatMs = 1200\n"
      << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\","
         "\"engine\",\"platform\"]\n"
      << "[zones]\nhall-a = \"r\"\nhall-b = \"r\"\n[listen]\nfrontend = \"" << ip_
      << ":8149\"\nreadiness = \"" << ip_ << ":8141\"\ncontrol = \"" << ip_
      << ":8144\"\ndirectory = \"" << ip_ << ":8143\"\n"
      << "[limits]\ncpuShare = 0.5\ncores = 1\nmemoryMb = " << memoryMb
      << "\nmaxFds = 8200\nlinkMbps = 1000.0\ndiskMb = 0\n"
      << "[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n"
      << "[bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = "
         "4.3\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = "
         "2000\ndowngradeSlackMs = 250\nskewMaxMs = 5000\nrecoveryS = 12\npassMs = "
         "120\nretryAfterS = 0\nfinishS = 10\nsettleMs = 1000\nttl_max_s = 5\n"
      << "[platform]\naddress = \"" << storeAddress
      << "\"\nform = \"log\"\nwritesPerS = 800\nreadsPerS = 2000\nparts = 8\nappend_ms = "
         "4.0\npart_mb_per_s = 20.0\nread_mb_per_s = 80.0\nrecord_bytes = 262144\ncall_bytes = "
         "2097152\nretentionS = 300\npart_mb = 200\nttlMinMs = 1000\n";
}

Node::~Node() { kill(); }

void Node::start() {
  const int process = ::fork();
  if (process == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(logFile_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, 1);
    ::dup2(log, 2);
    ::setenv("GORSETRAIL_CONFIG", settingsFile_.c_str(), 1);
    ::execl("target/bin/gorsetrail-edge", "target/bin/gorsetrail-edge", "--metrics_port=9464",
            static_cast<char*>(nullptr));
    ::_exit(2);
  }
  process_ = process;
}

void Node::kill() {
  if (process_ > 0) {
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
    process_ = -1;
  }
}

void Node::signal(int number) const {
  if (process_ > 0) {
    ::kill(process_, number);
  }
}

std::string Node::clientAddress() const { return ip_ + ":8149"; }

bool Node::isReady() const {
  return ask(ip_ + ":8141", "GET", "/v1/readyz", {}, {}, 500).status == 200;
}

std::string chooseNetwork() {
  std::random_device random;
  return "127." + std::to_string(10 + random() % 200) + "." + std::to_string(1 + random() % 250) +
         ".";
}

bool waitReady(const std::vector<std::unique_ptr<Node>>& nodes, std::int64_t limitMs) {
  const std::int64_t until = nowMs() + limitMs;
  while (nowMs() < until) {
    if (std::all_of(nodes.begin(), nodes.end(), [](const auto& node) { return node->isReady(); })) {
      return true;
    }
    sleepMs(100);
  }
  return false;
}

Answer ask(const std::string& address, const std::string& method, const std::string& target,
           const Headers& headers, const std::string& body, std::int64_t limitMs,
           const std::function<void()>& onEvent) {
  Answer answer;
  const auto deadline = Clock::now() + std::chrono::milliseconds(limitMs);
  const int socket = connectTo(address, static_cast<int>(std::min<std::int64_t>(limitMs, 1000)));
  if (socket < 0) {
    return answer;
  }
  Connection connection(socket);
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  text += "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  Message head;
  if (!connection.send(text) || !connection.readHead(head, deadline)) {
    return answer;
  }
  answer.startLine = head.startLine;
  answer.status = head.status();
  answer.headers = head.headers;
  std::string unparsed;
  const bool isStream = head.header("Content-Type").rfind("text/event-stream", 0) == 0;
  answer.whole = connection.readBody(head, deadline, [&](std::string_view part) {
    answer.body += part;
    if (!isStream) {
      return;
    }
    unparsed += part;
    for (std::size_t end = unparsed.find("\n\n"); end != std::string::npos;
         end = unparsed.find("\n\n")) {
      std::istringstream lines(unparsed.substr(0, end + 1));
      unparsed.erase(0, end + 2);
      ++answer.events;
      for (std::string line; std::getline(lines, line);) {
        if (line.rfind("id: ", 0) == 0) {
          answer.lastEventId = line.substr(4);
        } else if (line.rfind("data: ", 0) == 0) {
          answer.outputs += line.substr(6) + "\n";
        }
      }
      if (onEvent) {
        onEvent();
      }
    }
  });
  return answer;
}

std::string newId() {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  const std::lock_guard lock(mutex);
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

}  // namespace review
