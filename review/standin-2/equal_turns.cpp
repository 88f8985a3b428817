/// \file Case: programs start several sub-agents with equal turns, and one replica crashes while it
/// runs them. Later, in calm, each program starts one more: its turn is refused at every try,
/// though one replica ended only, and first turns of other programs are served.
#include <iostream>
#include <thread>

#include "deployment.h"
#include "fill_watch.h"

namespace {

using namespace review;

constexpr std::size_t kNodes = 3;
constexpr int kReplicas = 7;  ///< One of them is 0.143, below the largest share of `srv_crash`.
constexpr int kSlots = 12;
constexpr int kPrograms = 6;
constexpr int kWorkers = 5;  ///< Sub-agents of a program that start at once.
constexpr int kNewcomers = 20;
constexpr int kTriesOfTurn = 6;  ///< A turn is sent three times, with one more try each.
constexpr int kTriesOfRule = 5;
constexpr Milliseconds kCalm{8000};  ///< From the crash; `contactMs` is 3 s.
constexpr Milliseconds kAim{40000};  ///< Time of a whole program.
constexpr char kChat[] = "/lohu930/";

std::string configuration() {
  const std::string more =
      "\"timeoutMs\":4000,\"targetLatencyMs\":200,\"priority\":1,\"persisted\":true,"
      "\"retentionS\":60.0,\"sticky\":true,\"resumable\":false,\"gapTargetMs\":200";
  return "{\"version\":7,\"routes\":[" + routeText("chat", kChat, "streaming", "pool", more) +
         "],\"services\":[{\"name\":\"pool\",\"healthPath\":\"/healthz\",\"maxConnections\":160,"
         "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":12,\"kvCapacity\":127559,"
         "\"kvTokenBytes\":131072,\"linkMbps\":1100000.0,\"streamStride\":9,\"most\":12,"
         "\"pinTtlMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}}],"
         "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

/// A line of turns of a program: its own, or that of a sub-agent.
struct Line {
  std::string program;
  std::string session;
  std::string previousTurn;  ///< Empty: none.
  std::unique_ptr<Caller> caller;
  Clock::time_point programStartedAt;
  std::string lastTurn;  ///< Answered whole; empty: none.
  int refusedTries = 0;
  bool reachedReplica = false;
  std::string statuses;
};

Line makeLine(SmallDeployment& world, const std::string& program, const std::string& session,
              const std::string& previousTurn, Clock::time_point startedAt, unsigned seed) {
  Line line;
  line.program = program;
  line.session = session;
  line.previousTurn = previousTurn;
  line.caller = std::make_unique<Caller>(kHost, world.plan.region, world.plan.zones[seed % kNodes],
                                         world.directories(), world.record, seed);
  line.programStartedAt = startedAt;
  return line;
}

std::string turnHeaders(const Line& line) {
  const auto left =
      kAim - std::chrono::duration_cast<Milliseconds>(Clock::now() - line.programStartedAt);
  return "Gorsetrail-Model: m\r\nGorsetrail-Program-Id: " + line.program +
         "\r\nGorsetrail-Session-Id: " + line.session +
         "\r\nGorsetrail-Finish-Ms: " + std::to_string(std::max<long>(0, left.count())) +
         "\r\nGorsetrail-Token-Budget: 6000\r\nGorsetrail-Token-Usage: 4000,150\r\n"
         "Gorsetrail-Prompt-Prefix: 5c1e07a2:4000\r\n" +
         (line.previousTurn.empty() ? std::string()
                                    : "Gorsetrail-Previous-Turn: " + line.previousTurn + "\r\n");
}

/// Takes a turn with all the tries that clients make.
void takeTurn(Line& line, SmallDeployment& world, const std::string& input) {
  for (int number = 1; number <= kTriesOfTurn; ++number) {
    Try sent;
    sent.id = line.session + "-" + std::to_string(number);
    sent.target = std::string(kChat) + "4b";
    sent.headerLines = turnHeaders(line);
    sent.body = input;
    const Answer answer = line.caller->send(line.caller->chooseAddress(), sent);
    line.reachedReplica = line.reachedReplica || world.runs.has(sent.id);
    line.statuses += " " + std::to_string(answer.status);
    if (answer.isSuccess()) {
      line.lastTurn = sent.id;
      return;
    }
    if (answer.status == 402 || answer.status == 404) {
      return;
    }
    line.refusedTries += line.reachedReplica ? 0 : 1;
    constexpr Milliseconds kTimeOfTry{4000};
    std::this_thread::sleep_for(
        std::max(Milliseconds(300), Caller::pauseAfter(answer, kTimeOfTry)));
  }
}

/// Takes a turn of each line at the same time.
void takeTurns(std::vector<Line>& lines, SmallDeployment& world, const std::string& input,
               const std::function<void()>& meanwhile) {
  std::vector<std::thread> threads;
  for (Line& line : lines) {
    threads.emplace_back([&line, &world, &input] { takeTurn(line, world, input); });
  }
  meanwhile();
  for (std::thread& thread : threads) {
    thread.join();
  }
}

/// \return the replica that works on most requests.
Replica& busiestReplica(SmallDeployment& world) {
  return **std::max_element(
      world.replicas.begin(), world.replicas.end(),
      [](const auto& left, const auto& right) { return left->running() < right->running(); });
}

int judge(std::vector<Line>& lines, std::vector<Line>& newcomers, int mostPlaces,
          SmallDeployment& world) {
  int broken = 0;
  int reached = 0;
  for (const Line& line : lines) {
    const bool isLost = !line.reachedReplica && line.refusedTries >= kTriesOfRule;
    broken += isLost ? 1 : 0;
    reached += line.reachedReplica ? 1 : 0;
    world.record.line("program " + line.program + ": the later turn after " + line.previousTurn +
                      " got" + line.statuses + (isLost ? " (LOST)" : ""));
  }
  const auto firstTurns =
      std::count_if(newcomers.begin(), newcomers.end(),
                    [](const Line& newcomer) { return newcomer.reachedReplica; });
  const std::string result =
      std::to_string(broken) + " of " + std::to_string(lines.size()) +
      " later turns reached no replica in five tries or more, " + std::to_string(reached) +
      " reached one; first turns: " + std::to_string(firstTurns) + " of " +
      std::to_string(newcomers.size()) +
      "; most places of the replicas taken at once: " + std::to_string(mostPlaces) + " of " +
      std::to_string(kReplicas * kSlots);
  world.record.line("result: " + result);
  std::cout << result << '\n';
  if (firstTurns * 10 < kNewcomers * 9 || mostPlaces * 2 >= kReplicas * kSlots) {
    std::cout << "the rule does not apply: first turns are not served, or replicas are full\n";
    return kCouldNotRun;
  }
  return broken > 0 ? kRuleBroken : kRuleHeld;
}

void addReplicas(SmallDeployment& world) {
  for (int number = 0; number < kReplicas; ++number) {
    ReplicaOptions replica;
    replica.id = "i-" + std::to_string(number + 1);
    replica.service = "pool";
    replica.zone = "hall-" + std::to_string(1 + number % static_cast<int>(kNodes));
    replica.streamPrefix = kChat;
    replica.slots = kSlots;
    replica.eventPause = Milliseconds(60);
    world.replicas.push_back(
        std::make_unique<Replica>("127.0.0.1", replica, world.store, world.runs, world.record));
  }
}

int play(const CaseOptions& options) {
  Record record(options.recordFile);
  SmallDeployment world(options, kNodes, record);
  world.store.put("keyed.op", "config", configuration());
  addReplicas(world);
  if (!world.start()) {
    return kCouldNotRun;
  }
  std::vector<Line> roots;
  for (int number = 0; number < kPrograms; ++number) {
    const std::string program = "p" + std::to_string(number);
    roots.push_back(makeLine(world, program, program, {}, Clock::now(), number));
  }
  takeTurns(roots, world, "plan the work\n", [] {});
  std::vector<Line> workers;
  for (const Line& root : roots) {
    if (root.lastTurn.empty()) {
      record.line("program " + root.program + " could not take its first turn");
      return kCouldNotRun;
    }
    for (int number = 1; number <= kWorkers; ++number) {
      workers.push_back(makeLine(world, root.program, root.program + "w" + std::to_string(number),
                                 root.lastTurn, root.programStartedAt, number));
    }
  }
  const std::string input = "write one draft\n";
  takeTurns(workers, world, input, [&] {
    std::this_thread::sleep_for(Milliseconds(300));
    if (options.isTroubled) {
      busiestReplica(world).crash();
    }
  });
  for (const Line& worker : workers) {
    record.line("sub-agent " + worker.session + " got" + worker.statuses);
  }
  std::this_thread::sleep_for(kCalm);
  std::vector<Line> later;
  std::vector<Line> newcomers;
  for (const Line& root : roots) {
    later.push_back(makeLine(world, root.program, root.program + "later", root.lastTurn,
                             root.programStartedAt, static_cast<unsigned>(later.size())));
  }
  for (int number = 0; number < kNewcomers; ++number) {
    const std::string program = "n" + std::to_string(number);
    newcomers.push_back(makeLine(world, program, program, {}, Clock::now(), number));
  }
  FillWatch fill(world);
  takeTurns(later, world, input, [&] { takeTurns(newcomers, world, "plan the work\n", [] {}); });
  return judge(later, newcomers, fill.stop(), world);
}

}  // namespace

int main(int argc, char** argv) {
  const auto options = review::parseCaseOptions(argc, argv);
  if (!options) {
    std::cerr << "usage: equal_turns COMMAND FOLDER RECORD\n";
    return review::kCouldNotRun;
  }
  try {
    return play(*options);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return review::kCouldNotRun;
  }
}
