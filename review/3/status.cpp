/// \file Case 3: a stream that is continued at its replica while the budget's reservation is
/// pending reaches the client with a status line that the protocol does not have.
#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "../standin/world.h"

namespace {

using namespace review;

constexpr int kNodes = 4;
constexpr int kReplicas = 10;
constexpr int kSlots = 24;
constexpr int kPrograms = 160;
constexpr int kEventsOfTurn = 14;
constexpr int kMostTokens = 504;
constexpr int kBudget = 50400;
constexpr int kFirstEventMs = 10;
constexpr int kEventMs = 23;
constexpr std::int64_t kDeadlineMs = 4000;
constexpr std::int64_t kFinishMs = 40000;
constexpr std::int64_t kCalmMs = 2000;
constexpr int kCuts = 20;
constexpr std::int64_t kCutMs = 400;
constexpr std::int64_t kBetweenCutsMs = 400;

class Case {
 public:
  Case(const std::string& directory, const std::string& record, bool hasTrouble)
      : record_(record),
        network_(chooseNetwork()),
        hasTrouble_(hasTrouble),
        store_(network_ + "200") {
    for (int number = 0; number < kReplicas; ++number) {
      replicas_.push_back(
          std::make_unique<Replica>(store_, network_ + "100", "i-" + std::to_string(number), "llm",
                                    number % 2 == 0 ? "hall-a" : "hall-b", kSlots,
                                    [this](const Run& run, const Message&, Connection& connection) {
                                      return stream(run, connection);
                                    }));
    }
    store_.put(
        "keyed.op", "config",
        R"({"version":7,"routes":[{"name":"agent","host":"h.example","pathPrefix":"/agent/",)"
        R"("routeType":"streaming","timeoutMs":4000,"targetLatencyMs":200,"priority":0,)"
        R"("service":"llm","maxAttempts":1,"persisted":false,"retentionS":60.0,"sticky":true,)"
        R"("resumable":true,"gapTargetMs":200}],"services":[{"name":"llm","healthPath":"/healthz",)"
        R"("maxConnections":210,"protocol":"h1","tls":false,"engine":{"slots":24,)"
        R"("kvCapacity":651296,"kvTokenBytes":131072,"linkMbps":1100000.0,"streamStride":18,)"
        R"("most":24,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,)"
        R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
    const std::vector<std::string> seeds = {network_ + "1:8144", network_ + "2:8144"};
    for (int number = 0; number < kNodes; ++number) {
      nodes_.push_back(std::make_unique<Node>(
          directory, "node-" + std::to_string(number + 1), network_ + std::to_string(number + 1),
          number % 2 == 0 ? "hall-a" : "hall-b", seeds, store_.address(), 230));
    }
  }

  int run() {
    for (const auto& node : nodes_) {
      node->start();
    }
    if (!waitReady(nodes_, 15000)) {
      record_.line("the nodes did not get ready");
      return 2;
    }
    sleepMs(3000);
    std::vector<std::thread> programs;
    for (int number = 0; number < kPrograms; ++number) {
      programs.emplace_back([this] { runProgram(); });
    }
    sleepMs(kCalmMs);
    for (int cut = 0; cut < kCuts; ++cut) {
      Replica& replica = *replicas_[static_cast<std::size_t>(cut % kReplicas)];
      if (hasTrouble_) {
        record_.line("the connections to " + replica.id() +
                     " are reset, and new ones refused for " + std::to_string(kCutMs) + " ms");
        replica.setCut(true);
      }
      sleepMs(kCutMs);
      replica.setCut(false);
      sleepMs(kBetweenCutsMs);
    }
    record_.line("the trouble is over");
    sleepMs(kCalmMs);
    stopped_ = true;
    for (std::thread& program : programs) {
      program.join();
    }
    record_.line(std::to_string(whole_) + " streams whole, " + std::to_string(others_) +
                 " ended otherwise, " + std::to_string(bad_) +
                 " answers without a status of the protocol: MIXED " +
                 (bad_ > 0 ? "broken" : "held"));
    if (bad_ > 0) {
      return 1;
    }
    return whole_ < kPrograms ? 2 : 0;
  }

 private:
  static std::int64_t random(std::int64_t below) {
    static std::mutex mutex;
    static std::mt19937_64 generator(std::random_device{}());
    const std::lock_guard lock(mutex);
    return static_cast<std::int64_t>(generator() % static_cast<std::uint64_t>(below));
  }

  bool stream(const Run& run, Connection& connection) {
    record_.line("run " + run.requestId + " at " + run.replicaId +
                 (run.lastEventId.empty() ? "" : " after event " + run.lastEventId));
    const int first = std::atoi(run.lastEventId.c_str());
    sleepMs(kFirstEventMs);
    if (!beginStream(connection, run)) {
      return false;
    }
    for (int number = first + 1; number <= kEventsOfTurn; ++number) {
      if (number > first + 1) {
        sleepMs(kEventMs);
      }
      if (!sendEvent(connection, number, "token-" + std::to_string(number))) {
        return false;
      }
    }
    return endStream(connection);
  }

  void runProgram() {
    const std::string program = newId();
    const std::int64_t finishAt = nowMs() + kFinishMs;
    sleepMs(random(400));
    while (!stopped_) {
      const std::string request = newId();
      const Headers headers = {
          {"Host", "h.example"},
          {"Gorsetrail-Request-Id", request},
          {"Gorsetrail-Model", "m"},
          {"Gorsetrail-Program-Id", program},
          {"Gorsetrail-Session-Id", program},
          {"Gorsetrail-Finish-Ms", std::to_string(std::max<std::int64_t>(0, finishAt - nowMs()))},
          {"Gorsetrail-Token-Budget", std::to_string(kBudget)},
          {"Gorsetrail-Token-Usage", "400," + std::to_string(kMostTokens)},
          {"Gorsetrail-Prompt-Prefix", "5c1e07a2:200,91bd3f06:200"},
          {"Gorsetrail-Deadline-Ms", std::to_string(kDeadlineMs)}};
      const std::string node = nodes_[static_cast<std::size_t>(random(kNodes))]->clientAddress();
      const Answer answer =
          ask(node, "POST", "/agent/turn", headers, "input", kDeadlineMs + 200, {});
      const bool isBad = !answer.startLine.empty() && (answer.status < 200 || answer.status > 599);
      (isBad ? bad_ : answer.status == 200 && answer.whole ? whole_ : others_) += 1;
      record_.line("turn " + request + ": " +
                   (answer.startLine.empty() ? "no answer" : "\"" + answer.startLine + "\"") +
                   ", " + std::to_string(answer.events) + " events, " +
                   (answer.whole ? "whole" : "not whole") + (isBad ? ": MIXED broken" : ""));
      sleepMs(50 + random(200));
    }
  }

  Record record_;
  std::string network_;
  bool hasTrouble_;
  Store store_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::atomic<bool> stopped_{false};
  std::atomic<int> whole_{0};
  std::atomic<int> others_{0};
  std::atomic<int> bad_{0};
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return 2;  // A folder for settings and logs, and the path of the record.
  }
  const char* const trouble = std::getenv("TROUBLE");
  const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
  int result = 2;
  {
    Case test(argv[1], argv[2], hasTrouble);
    result = test.run();
  }
  std::_Exit(result);  // Threads of idle connections still wait.
}
