/// \file Stand-ins for the scripts under review/: the platform's store, replicas, clients and the
/// edge nodes as child processes. Blocking sockets and one thread per connection, loopback only.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// \return milliseconds since the start of this program.
std::int64_t nowMs();
void sleepMs(std::int64_t milliseconds);

/// Writes the lines of record.txt; the time since the start precedes each line.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  void line(const std::string& text);

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

/// A message without its body framing.
struct Message {
  std::string startLine;
  Headers headers;
  std::string body;

  [[nodiscard]] std::string header(std::string_view name) const;
  [[nodiscard]] std::string method() const;
  [[nodiscard]] std::string target() const;
  [[nodiscard]] int status() const;
};

/// A connected socket with buffered reading.
class Connection {
 public:
  explicit Connection(int socket) : socket_(socket) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// \return whether all bytes were accepted by the kernel.
  bool send(std::string_view bytes);
  /// Reads the head and, if it has a length, the body.
  bool readMessage(Message& message, Clock::time_point deadline);
  bool readHead(Message& message, Clock::time_point deadline);
  /// Reads the body of a response in pieces.
  /// \return whether the body was complete.
  bool readBody(const Message& head, Clock::time_point deadline,
                const std::function<void(std::string_view)>& onPart);
  /// \return whether the peer has closed or reset the connection.
  [[nodiscard]] bool isClosedByPeer() const;
  /// Closes so that the peer sees a reset.
  void reset();
  [[nodiscard]] int socket() const { return socket_; }

 private:
  bool fill(Clock::time_point deadline);

  int socket_;
  std::string buffer_;
  bool reset_ = false;
};

/// Accepts connections and handles the requests of each in a thread of its own.
class Server {
 public:
  /// \return false to close the connection.
  using Handler = std::function<bool(const Message&, Connection&)>;

  /// Listens on a free port of `ip`.
  Server(const std::string& ip, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  [[nodiscard]] const std::string& address() const { return address_; }

 private:
  void acceptLoop();

  std::string address_;
  Handler handler_;
  int listener_ = -1;
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

/// Sends a whole response.
bool sendResponse(Connection& connection, int status, const Headers& headers,
                  const std::string& body);

/// The platform's store: logs, keyed topics, held reads; 4 ms for each append of a partition.
class Store {
 public:
  explicit Store(const std::string& ip);
  [[nodiscard]] const std::string& address() const { return server_->address(); }
  /// Writes the newest record of a key, as the operator and replicas do.
  void put(const std::string& topic, const std::string& key, const std::string& value);

  /// While set, calls are read and never answered, and nothing is done.
  std::atomic<bool> isSilent{false};
  /// Time that a partition takes for an append.
  std::atomic<int> appendMs{4};
  /// Added to every other answer.
  std::atomic<int> answerMs{0};

 private:
  struct Partition {
    std::mutex turn;  ///< Appends take their turns.
    std::vector<std::string> records;
  };

  bool handle(const Message& request, Connection& connection);
  Partition& partition(const std::string& topic, const std::string& number);
  std::string append(Partition& log, const std::string& body);
  std::string read(Partition& log, std::uint64_t start, std::uint64_t maximumBytes, int waitMs);
  std::string newest(Partition& log);

  std::mutex mutex_;
  std::condition_variable appended_;
  std::map<std::pair<std::string, std::string>, std::unique_ptr<Partition>> partitions_;
  std::unique_ptr<Server> server_;
};

/// Forwards connections to a server, and can cut them.
class Proxy {
 public:
  Proxy(const std::string& ip, std::string target);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;
  [[nodiscard]] const std::string& address() const { return address_; }
  /// While cut, all connections are reset, and new ones are refused.
  void setCut(bool isCut);

 private:
  void acceptLoop();
  void forward(int client);

  std::string address_;
  std::string target_;
  std::mutex mutex_;
  int listener_ = -1;  ///< -1 while cut.
  std::atomic<bool> isCut_{false};
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

/// What a replica was asked to run.
struct Run {
  std::string requestId;
  std::string replicaId;
  std::string lastEventId;
  std::string body;
};

/// A replica: registers itself in the store, by the address of a proxy before it, and runs what it
/// is sent.
class Replica {
 public:
  /// Handles a request that the replica runs; returns false to close the connection.
  using Work = std::function<bool(const Run&, const Message&, Connection&)>;

  Replica(Store& store, const std::string& ip, std::string id, std::string service,
          std::string zone, int slots, Work work);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;
  [[nodiscard]] const std::string& id() const { return id_; }
  /// Cuts the way to the replica: its process goes on.
  void setCut(bool isCut) { proxy_->setCut(isCut); }

 private:
  bool handle(const Message& request, Connection& connection);
  void beatLoop();

  Store& store_;
  std::string id_;
  std::string service_;
  std::string zone_;
  int slots_;
  Work work_;
  std::unique_ptr<Server> server_;
  std::unique_ptr<Proxy> proxy_;
  std::atomic<bool> stopped_{false};
  std::thread beats_;
};

/// \return the seal of a run at a replica.
std::string sealOf(const Run& run);
/// Begins a stream of events.
bool beginStream(Connection& connection, const Run& run);
/// Sends one event of a stream.
bool sendEvent(Connection& connection, int number, const std::string& data);
bool endStream(Connection& connection);

/// An edge node as a child process, started with the command of the deploy file.
class Node {
 public:
  /// \param directory folder for the settings file and the log.
  Node(const std::string& directory, std::string name, std::string ip, std::string zone,
       const std::vector<std::string>& seeds, const std::string& storeAddress, int memoryMb);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void start();
  /// Sends SIGKILL and collects the process.
  void kill();
  void signal(int number) const;
  /// \return whether `GET /v1/readyz` is answered with 200.
  [[nodiscard]] bool isReady() const;
  [[nodiscard]] std::string clientAddress() const;
  [[nodiscard]] const std::string& name() const { return name_; }

 private:
  std::string name_;
  std::string ip_;
  std::string settingsFile_;
  std::string logFile_;
  int process_ = -1;
};

/// \return a loopback network `127.x.y.` of this run.
std::string chooseNetwork();
/// Waits until all nodes are ready.
bool waitReady(const std::vector<std::unique_ptr<Node>>& nodes, std::int64_t limitMs);

/// What a client got for one request.
struct Answer {
  std::string startLine;  ///< Empty: no complete head.
  int status = 0;
  bool whole = false;  ///< The body was complete.
  Headers headers;
  std::string body;
  int events = 0;       ///< Whole events received.
  std::string outputs;  ///< Data of each event, with a line feed behind.
  std::string lastEventId;
};

/// Sends one request on a new connection and reads its answer.
/// \param onEvent called for each whole event, may be empty.
Answer ask(const std::string& address, const std::string& method, const std::string& target,
           const Headers& headers, const std::string& body, std::int64_t limitMs,
           const std::function<void()>& onEvent = {});

/// \return a new request id of 16 hexadecimal digits.
std::string newId();

}  // namespace review
