#include "replica.h"

#include <cstdlib>
#include <optional>

namespace review {
namespace {

constexpr Milliseconds kIdleTime{60000};
constexpr Milliseconds kHeartbeat{1200};
constexpr Milliseconds kStopCheck{50};
/// After so many the store drops the entry.
constexpr int kMissedHeartbeats = 3;
constexpr char kHealthPath[] = "/healthz";

std::string chunk(const std::string& bytes) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

}  // namespace

void RunLog::add(Run run) {
  const std::lock_guard lock(mutex_);
  const std::string id = run.requestId;
  runs_.emplace(id, std::move(run));
}

std::vector<Run> RunLog::of(const std::string& requestId) {
  const std::lock_guard lock(mutex_);
  std::vector<Run> found;
  const auto [begin, end] = runs_.equal_range(requestId);
  for (auto entry = begin; entry != end; ++entry) {
    found.push_back(entry->second);
  }
  return found;
}

Replica::Replica(const std::string& ip, ReplicaOptions options, Store& store, RunLog& runs,
                 Record& record)
    : options_(std::move(options)),
      store_(store),
      runs_(runs),
      record_(record),
      server_(ip, [this](Connection& connection) { serve(connection); }) {
  heartbeat_ = std::thread([this] { heartbeatLoop(); });
}

Replica::~Replica() {
  stopped_ = true;
  heartbeat_.join();
}

std::string Replica::eventData(const std::string& requestId, int number) {
  return "out-" + requestId + "-" + std::to_string(number);
}

std::string Replica::answerBody(const std::string& requestId) {
  return "answer to " + requestId + "\n";
}

void Replica::writeEntry(int count) {
  store_.put("keyed.servers", options_.id,
             "{\"service\":\"" + options_.service + "\",\"address\":\"" + server_.address() +
                 "\",\"zone\":\"" + options_.zone +
                 "\",\"version\":\"v1\",\"slots\":" + std::to_string(options_.slots) +
                 ",\"state\":\"ready\",\"coldRemainingMs\":0,\"callSeq\":" + std::to_string(count) +
                 "}");
}

void Replica::heartbeatLoop() {
  auto next = Clock::now();
  int count = 0;
  int missed = 0;
  while (!stopped_) {
    if (Clock::now() >= next) {
      next += kHeartbeat;
      missed += crashed_ ? 1 : 0;
      if (!crashed_) {
        writeEntry(++count);
      } else if (missed == kMissedHeartbeats) {
        store_.put("keyed.servers", options_.id, {});
      }
    }
    std::this_thread::sleep_for(kStopCheck);
  }
}

void Replica::crash() {
  record_.line("replica " + options_.id + ": crashes with " + std::to_string(running_) +
               " requests under way");
  crashed_ = true;
  server_.stop();
}

std::string Replica::ownHeaders(const std::string& requestId) const {
  return "Gorsetrail-Request-Id: " + requestId + "\r\nGorsetrail-Response-Seal: " + options_.id +
         "." + requestId + "\r\n";
}

void Replica::serve(Connection& connection) {
  bool owesExcess = false;
  while (connection.waitReadable(kIdleTime)) {
    const std::optional<Request> request = readRequest(connection, kIdleTime);
    if (!request) {
      return;
    }
    if (owesExcess) {
      ++excessSent_;
      record_.line("replica " + options_.id + ": excess bytes before the answer to " +
                   request->header("Gorsetrail-Request-Id"));
      connection.write(options_.excess);
    }
    if (!answer(connection, *request)) {
      return;
    }
    owesExcess = options_.excessEvery > 0 && ++answers_ % options_.excessEvery == 0;
  }
}

bool Replica::answer(Connection& connection, const Request& request) {
  if (request.path() == kHealthPath) {
    return connection.write(
        responseText(200, "Gorsetrail-Instance-Id: " + options_.id + "\r\n", "ok"));
  }
  const std::string id = request.header("Gorsetrail-Request-Id");
  const std::string idLine = "Gorsetrail-Request-Id: " + id + "\r\n";
  if (request.header("Gorsetrail-Expect-Instance") != options_.id) {
    return connection.write(
        responseText(421, idLine + "Gorsetrail-Instance-Id: " + options_.id + "\r\n", ""));
  }
  if (running_ >= options_.slots) {
    return connection.write(responseText(503, idLine + "Gorsetrail-Not-Executed: 1\r\n", ""));
  }
  ++running_;
  runs_.add({id, options_.id, request.header("Last-Event-Id"), request.body});
  record_.line("replica " + options_.id + ": runs " + id + " " + request.method + " " +
               request.target);
  bool isSent = false;
  if (!options_.streamPrefix.empty() && request.target.rfind(options_.streamPrefix, 0) == 0) {
    isSent = stream(connection, request);
  } else {
    std::this_thread::sleep_for(options_.workTime);
    isSent = connection.write(responseText(200, ownHeaders(id), answerBody(id)));
  }
  --running_;
  return isSent;
}

bool Replica::stream(Connection& connection, const Request& request) {
  const std::string id = request.header("Gorsetrail-Request-Id");
  const int after = std::atoi(request.header("Last-Event-Id").c_str());
  if (!connection.write("HTTP/1.1 200 OK\r\n" + ownHeaders(id) +
                        "Gorsetrail-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  for (int number = after + 1; number <= options_.events; ++number) {
    std::this_thread::sleep_for(options_.eventPause);
    if (connection.isClosedByPeer() ||
        !connection.write(
            chunk("id: " + std::to_string(number) + "\ndata: " + eventData(id, number) + "\n\n"))) {
      record_.line("replica " + options_.id + ": stops " + id + ", its connection is closed");
      return false;
    }
  }
  return connection.write("0\r\n\r\n");
}

}  // namespace review
