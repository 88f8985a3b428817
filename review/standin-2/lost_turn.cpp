/// \file Case: programs go on after one node was killed. Their next turns, which the budget covers
/// and which name a turn that was answered whole, are refused at every try, though first turns of
/// other programs are served.
#include <iostream>
#include <map>
#include <thread>

#include "deployment.h"
#include "fill_watch.h"

namespace {

using namespace review;

constexpr std::size_t kNodes = 3;
constexpr int kPrograms = 24;
constexpr int kTurnsBefore = 8;
constexpr int kBudget = 1100;
constexpr int kMostOfTurn = 150;  ///< Ten events of nine tokens are made: 90.
constexpr int kTriesOfTurn = 6;   ///< A turn is sent three times, with one more try each.
constexpr int kTriesOfRule = 5;
constexpr Milliseconds kContact{3000};  ///< `contactMs`.
constexpr Milliseconds kDark{1000};     ///< From the kill to the start.
constexpr Milliseconds kAim{45000};     ///< Time of a whole program.
constexpr int kReplicas = 6;
constexpr int kSlots = 12;
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

/// A program that has taken turns, one after the other.
struct Program {
  std::string name;
  std::unique_ptr<Caller> caller;
  std::string address;   ///< Of the node that its connection is kept to; empty: none.
  std::string lastTurn;  ///< Answered whole; empty: none.
  Clock::time_point startedAt;
  int turns = 0;
  int tokens = 0;
  int refusedTries = 0;  ///< Of the turn after the kill.
  bool reachedReplica = false;
  std::string statuses;
};

std::string turnHeaders(const Program& program) {
  const auto left =
      kAim - std::chrono::duration_cast<Milliseconds>(Clock::now() - program.startedAt);
  return "Gorsetrail-Model: m\r\nGorsetrail-Program-Id: " + program.name +
         "\r\nGorsetrail-Session-Id: s-" + program.name +
         "\r\nGorsetrail-Finish-Ms: " + std::to_string(std::max<long>(0, left.count())) +
         "\r\nGorsetrail-Token-Budget: " + std::to_string(kBudget) +
         "\r\nGorsetrail-Token-Usage: 400," + std::to_string(kMostOfTurn) +
         "\r\nGorsetrail-Prompt-Prefix: 5c1e07a2:400\r\n" +
         (program.lastTurn.empty() ? std::string()
                                   : "Gorsetrail-Previous-Turn: " + program.lastTurn + "\r\n");
}

/// Sends one try of the next turn.
Answer sendTurn(Program& program, SmallDeployment& world, const std::string& label) {
  Try sent;
  sent.id = program.name + "-" + label;
  sent.target = std::string(kChat) + "4b";
  sent.headerLines = turnHeaders(program);
  sent.body = "input of " + sent.id + "\n";
  if (program.address.empty()) {
    program.address = program.caller->chooseAddress();
  }
  const Answer answer = program.caller->send(program.address, sent);
  if (answer.status == 0) {
    program.address.clear();
  }
  program.tokens += answer.events() * 9;
  if (answer.isSuccess()) {
    program.lastTurn = sent.id;
    ++program.turns;
  }
  program.reachedReplica = program.reachedReplica || world.runs.has(sent.id);
  program.statuses += " " + std::to_string(answer.status);
  return answer;
}

Program makeProgram(const std::string& name, unsigned seed, SmallDeployment& world) {
  Program program;
  program.name = name;
  program.caller =
      std::make_unique<Caller>(kHost, world.plan.region, world.plan.zones[seed % kNodes],
                               world.directories(), world.record, seed);
  program.startedAt = Clock::now();
  return program;
}

/// All tries of the turn after the kill, as clients make them.
void goOn(Program& program, SmallDeployment& world) {
  program.statuses.clear();
  program.reachedReplica = false;
  program.refusedTries = 0;
  for (int number = 1; number <= kTriesOfTurn; ++number) {
    const Answer answer = sendTurn(program, world, "next" + std::to_string(number));
    if (answer.isSuccess() || answer.status == 402 || answer.status == 404) {
      return;
    }
    program.refusedTries += program.reachedReplica ? 0 : 1;
    constexpr Milliseconds kTimeOfTry{4000};
    std::this_thread::sleep_for(
        std::max(Milliseconds(300), Caller::pauseAfter(answer, kTimeOfTry)));
  }
}

void inParallel(std::vector<Program>& programs, const std::function<void(Program&)>& work) {
  std::vector<std::thread> threads;
  for (Program& program : programs) {
    threads.emplace_back([&program, &work] { work(program); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

/// \return the node that wrote last about the budgets of most partitions.
Node& mostActiveNode(SmallDeployment& world) {
  std::vector<std::string> addresses;
  for (const auto& node : world.nodes) {
    addresses.push_back(node->ip() + ":");
  }
  std::map<std::string, int> partitions;
  for (const std::string& address : world.store.newestOf("budgets", addresses)) {
    ++partitions[address];
  }
  Node* found = world.nodes.front().get();
  for (const auto& node : world.nodes) {
    if (partitions[node->ip() + ":"] > partitions[found->ip() + ":"]) {
      found = node.get();
    }
  }
  world.record.line("node " + found->ip() + ": wrote last about " +
                    std::to_string(partitions[found->ip() + ":"]) + " partitions of budgets");
  return *found;
}

int judge(std::vector<Program>& programs, std::vector<Program>& newcomers, int mostPlaces,
          SmallDeployment& world) {
  int broken = 0;
  int reached = 0;
  for (const Program& program : programs) {
    const bool isLost = !program.reachedReplica && program.refusedTries >= kTriesOfRule;
    broken += isLost ? 1 : 0;
    reached += program.reachedReplica ? 1 : 0;
    world.record.line("program " + program.name + ": " + std::to_string(program.turns) +
                      " turns whole, " + std::to_string(program.tokens) + " of " +
                      std::to_string(kBudget) + " tokens, statuses of the turn that goes on:" +
                      program.statuses + (isLost ? " (LOST)" : ""));
  }
  int firstTurns = 0;
  for (const Program& newcomer : newcomers) {
    firstTurns += newcomer.reachedReplica ? 1 : 0;
  }
  const bool areFirstTurnsServed = firstTurns * 10 >= kPrograms * 9;
  const std::string result =
      std::to_string(broken) + " of " + std::to_string(programs.size()) +
      " turns that went on reached no replica in five tries or more, " + std::to_string(reached) +
      " reached one; first turns: " + std::to_string(firstTurns) + " of " +
      std::to_string(kPrograms) +
      "; most places of the replicas taken at once: " + std::to_string(mostPlaces) + " of " +
      std::to_string(kReplicas * kSlots);
  world.record.line("result: " + result);
  std::cout << result << '\n';
  if (!areFirstTurnsServed || mostPlaces * 2 >= kReplicas * kSlots) {
    std::cout << "the rule does not apply: first turns are not served, or replicas are full\n";
    return kCouldNotRun;
  }
  return broken > 0 ? kRuleBroken : kRuleHeld;
}

/// Not part of the check: what the turns that were refused are told later.
void askOnceMore(std::vector<Program>& programs, SmallDeployment& world) {
  std::this_thread::sleep_for(std::chrono::seconds(15));
  std::map<int, int> statuses;
  for (Program& program : programs) {
    if (!program.reachedReplica) {
      ++statuses[sendTurn(program, world, "later").status];
    }
  }
  for (const auto& [status, count] : statuses) {
    const std::string text =
        "fifteen seconds later " + std::to_string(count) + " of them got " + std::to_string(status);
    world.record.line(text);
    std::cout << text << "\n";
  }
}

int play(const CaseOptions& options) {
  Record record(options.recordFile);
  SmallDeployment world(options, kNodes, record);
  world.store.put("keyed.op", "config", configuration());
  for (int number = 0; number < kReplicas; ++number) {
    ReplicaOptions replica;
    replica.id = "i-" + std::to_string(number + 1);
    replica.service = "pool";
    replica.zone = "hall-" + std::to_string(1 + number % static_cast<int>(kNodes));
    replica.streamPrefix = kChat;
    replica.slots = kSlots;
    world.replicas.push_back(
        std::make_unique<Replica>("127.0.0.1", replica, world.store, world.runs, record));
  }
  if (!world.start()) {
    return kCouldNotRun;
  }
  std::vector<Program> programs;
  for (int number = 0; number < kPrograms; ++number) {
    programs.push_back(
        makeProgram("p" + std::to_string(number), static_cast<unsigned>(number), world));
  }
  inParallel(programs, [&world](Program& program) {
    for (int turn = 1; turn <= kTurnsBefore; ++turn) {
      sendTurn(program, world, "turn" + std::to_string(turn));
      std::this_thread::sleep_for(Milliseconds(150));
    }
  });
  for (const Program& program : programs) {
    if (program.turns != kTurnsBefore) {
      record.line("program " + program.name + " could not take its first turns");
      return kCouldNotRun;
    }
  }
  std::this_thread::sleep_for(std::chrono::seconds(2));
  if (options.isTroubled) {
    Node& node = mostActiveNode(world);
    node.kill();
    std::this_thread::sleep_for(kDark);
    node.start();
    if (!world.waitReady(node)) {
      return kCouldNotRun;
    }
  }
  std::this_thread::sleep_for(kContact + Milliseconds(500));
  std::vector<Program> newcomers;
  for (int number = 0; number < kPrograms; ++number) {
    newcomers.push_back(
        makeProgram("n" + std::to_string(number), static_cast<unsigned>(number), world));
  }
  FillWatch fill(world);
  std::thread others([&] {
    for (Program& newcomer : newcomers) {
      sendTurn(newcomer, world, "turn1");
      std::this_thread::sleep_for(Milliseconds(100));
    }
  });
  inParallel(programs, [&world](Program& program) { goOn(program, world); });
  others.join();
  const int result = judge(programs, newcomers, fill.stop(), world);
  if (options.isTroubled) {
    askOnceMore(programs, world);
  }
  return result;
}

}  // namespace

int main(int argc, char** argv) {
  const auto options = review::parseCaseOptions(argc, argv);
  if (!options) {
    std::cerr << "usage: lost_turn COMMAND FOLDER RECORD\n";
    return review::kCouldNotRun;
  }
  try {
    return play(*options);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return review::kCouldNotRun;
  }
}
