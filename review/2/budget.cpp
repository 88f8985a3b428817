/// \file Case 2: a program that returns after all nodes were killed is granted a part of its token
/// budget a second time.
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
constexpr int kReplicas = 16;
constexpr int kSlots = 12;
constexpr int kPrograms = 12;
constexpr int kSubAgents = 8;       // Turns of a program at a time.
constexpr int kTokensPerEvent = 9;  // `streamStride`.
constexpr int kEventsOfTurn = 5;    // All that `Gorsetrail-Token-Usage` allows.
constexpr int kTokensOfTurn = kTokensPerEvent * kEventsOfTurn;
constexpr int kBudget = 160 * kTokensOfTurn;
constexpr int kFirstEventMs = 32;
constexpr int kEventMs = 27;
constexpr std::int64_t kDeadlineMs = 4000;
constexpr std::int64_t kFinishMs = 9000;  // Time that a program has, from its start or return.
constexpr std::int64_t kLongestStartMs = 2400;
constexpr std::int64_t kKillAtMs = 3000;  // After the first program may start.
constexpr std::int64_t kDownMs = 1000;
constexpr std::int64_t kReturnAtMs = 30000;  // After the first program may start.
constexpr std::int64_t kReturnedForMs = 12000;

struct Program {
  std::string id;
  std::atomic<int> tokensBefore{0};
  std::atomic<int> tokensAfter{0};
  std::atomic<bool> spent{false};
};

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
        R"("maxConnections":160,"protocol":"h1","tls":false,"engine":{"slots":12,)"
        R"("kvCapacity":127559,"kvTokenBytes":131072,"linkMbps":1100000.0,"streamStride":9,)"
        R"("most":12,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,)"
        R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
    const std::vector<std::string> seeds = {network_ + "1:8144", network_ + "2:8144"};
    for (int number = 0; number < kNodes; ++number) {
      nodes_.push_back(std::make_unique<Node>(
          directory, "node-" + std::to_string(number + 1), network_ + std::to_string(number + 1),
          number % 2 == 0 ? "hall-a" : "hall-b", seeds, store_.address(), 230));
    }
    for (int number = 0; number < kPrograms; ++number) {
      programs_.push_back(std::make_unique<Program>());
      programs_.back()->id = newId();
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
    sleepMs(3000);  // The coordinators of the budgets hold their leases.
    const std::int64_t begun = nowMs();
    record_.line("programs start; budget " + std::to_string(kBudget) + " tokens, at most " +
                 std::to_string(kTokensOfTurn) + " in a turn");
    stopAt_ = begun + kKillAtMs;
    std::vector<std::thread> running;
    for (const auto& program : programs_) {
      running.emplace_back([this, &program] {
        sleepMs(random(kLongestStartMs));
        runProgram(*program, program->tokensBefore);
      });
    }
    sleepMs(begun + kKillAtMs - nowMs());
    if (hasTrouble_) {
      record_.line("all nodes are killed");
      for (const auto& node : nodes_) {
        node->signal(9);
      }
      for (const auto& node : nodes_) {
        node->kill();
      }
    } else {
      record_.line("no trouble: the programs stop by themselves");
    }
    for (std::thread& thread : running) {
      thread.join();
    }
    if (hasTrouble_) {
      sleepMs(kDownMs);
      for (const auto& node : nodes_) {
        node->start();
      }
      if (!waitReady(nodes_, 15000)) {
        record_.line("the nodes did not get ready again");
        return 2;
      }
      record_.line("all nodes are ready again");
    }
    sleepMs(begun + kReturnAtMs - nowMs());
    record_.line("the programs return");
    stopAt_ = nowMs() + kReturnedForMs;
    running.clear();
    for (const auto& program : programs_) {
      running.emplace_back([this, &program] { runProgram(*program, program->tokensAfter); });
    }
    for (std::thread& thread : running) {
      thread.join();
    }
    return verdict();
  }

 private:
  static std::int64_t random(std::int64_t below) {
    static std::mutex mutex;
    static std::mt19937_64 generator(std::random_device{}());
    const std::lock_guard lock(mutex);
    return static_cast<std::int64_t>(generator() % static_cast<std::uint64_t>(below));
  }

  bool stream(const Run& run, Connection& connection) {
    record_.line("run " + run.requestId + " at " + run.replicaId);
    if (!beginStream(connection, run)) {
      return false;
    }
    const int first = std::atoi(run.lastEventId.c_str());
    for (int number = first + 1; number <= kEventsOfTurn; ++number) {
      sleepMs(number == first + 1 ? kFirstEventMs : kEventMs);
      if (!sendEvent(connection, number, "token-" + std::to_string(number))) {
        return false;
      }
    }
    return endStream(connection);
  }

  /// A program that loops: several sub-agents take a turn each, and all begin again.
  void runProgram(Program& program, std::atomic<int>& tokens) {
    const std::int64_t finishAt = nowMs() + kFinishMs;
    program.spent = false;
    while (nowMs() < stopAt_ && !program.spent) {
      std::vector<std::thread> turns;
      for (int agent = 0; agent < kSubAgents; ++agent) {
        turns.emplace_back([&] { takeTurn(program, tokens, finishAt); });
      }
      for (std::thread& turn : turns) {
        turn.join();
      }
      sleepMs(20);
    }
  }

  void takeTurn(Program& program, std::atomic<int>& tokens, std::int64_t finishAt) {
    constexpr int kTries = 6;
    for (int tried = 0; tried < kTries && nowMs() < stopAt_ && !program.spent; ++tried) {
      const std::string request = newId();
      const Headers headers = {
          {"Host", "h.example"},
          {"Gorsetrail-Request-Id", request},
          {"Gorsetrail-Model", "m"},
          {"Gorsetrail-Program-Id", program.id},
          {"Gorsetrail-Session-Id", newId()},
          {"Gorsetrail-Finish-Ms", std::to_string(std::max<std::int64_t>(0, finishAt - nowMs()))},
          {"Gorsetrail-Token-Budget", std::to_string(kBudget)},
          {"Gorsetrail-Token-Usage", "400," + std::to_string(kTokensOfTurn)},
          {"Gorsetrail-Prompt-Prefix", "5c1e07a2:200,91bd3f06:200"},
          {"Gorsetrail-Deadline-Ms", std::to_string(kDeadlineMs)}};
      const std::string& node = nodes_[static_cast<std::size_t>(random(kNodes))]->clientAddress();
      const Answer answer = ask(node, "POST", "/agent/turn", headers, "input", kDeadlineMs + 200,
                                [&tokens] { tokens += kTokensPerEvent; });
      record_.line("turn " + request + " of program " + program.id + ": status " +
                   std::to_string(answer.status) + ", " + std::to_string(answer.events) +
                   " events, " + (answer.whole ? "whole" : "not whole"));
      if (answer.status == 402) {
        program.spent = true;
      }
      if (answer.status != 503) {
        return;
      }
      sleepMs(150 + random(100));
    }
  }

  int verdict() {
    int broken = 0;
    int spent = 0;
    for (const auto& program : programs_) {
      const int before = program->tokensBefore;
      const int after = program->tokensAfter;
      const bool isOver = before + after > kBudget + kTokensOfTurn;
      broken += isOver ? 1 : 0;
      spent += program->spent ? 1 : 0;
      record_.line("program " + program->id + ": " + std::to_string(before) + " + " +
                   std::to_string(after) + " = " + std::to_string(before + after) +
                   " tokens handed out, allowed " + std::to_string(kBudget) + " + " +
                   std::to_string(kTokensOfTurn) + (isOver ? ": BUDGET broken" : ""));
    }
    record_.line(std::to_string(spent) + " of " + std::to_string(kPrograms) +
                 " programs were told 402; BUDGET broken for " + std::to_string(broken));
    if (broken > 0) {
      return 1;
    }
    return spent * 2 < kPrograms ? 2 : 0;
  }

  Record record_;
  std::string network_;
  bool hasTrouble_;
  Store store_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Program>> programs_;
  std::atomic<std::int64_t> stopAt_{0};
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
