/// \file Case: a node is killed while it streams a turn that is kept and may be resumed. The client
/// resumes the stream at another node. The turn that goes on from there reaches a replica with a
/// chain that lacks the part of the answer from before the kill.
#include <atomic>
#include <iostream>
#include <thread>

#include "deployment.h"

namespace {

using namespace review;

constexpr std::size_t kNodes = 3;
constexpr int kPrograms = 6;
constexpr int kEvents = 10;
constexpr int kEventsBeforeKill = 4;
constexpr char kChat[] = "/lohu930/";

std::string configuration() {
  const std::string more =
      "\"timeoutMs\":4000,\"targetLatencyMs\":200,\"priority\":1,\"persisted\":true,"
      "\"retentionS\":60.0,\"sticky\":true,\"resumable\":true,\"gapTargetMs\":200";
  return "{\"version\":7,\"routes\":[" + routeText("chat", kChat, "streaming", "pool", more) +
         "],\"services\":[{\"name\":\"pool\",\"healthPath\":\"/healthz\",\"maxConnections\":160,"
         "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":12,\"kvCapacity\":127559,"
         "\"kvTokenBytes\":131072,\"linkMbps\":1100000.0,\"streamStride\":9,\"most\":12,"
         "\"pinTtlMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}}],"
         "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

/// \return the data of the events of an answer, each with a line feed behind.
std::string dataOf(const std::string& stream) {
  std::string data;
  for (std::size_t at = stream.find("data: "); at != std::string::npos;
       at = stream.find("data: ", at + 1)) {
    const std::size_t begin = at + std::string("data: ").size();
    data += stream.substr(begin, stream.find('\n', begin) - begin) + "\n";
  }
  return data;
}

/// \return the part of a stream up to the end of its last whole event.
std::string wholeEvents(const std::string& stream) {
  const std::size_t end = stream.rfind("\n\n");
  return end == std::string::npos ? std::string() : stream.substr(0, end + 2);
}

struct Program {
  std::string name;
  std::unique_ptr<Caller> caller;
  std::string address;
  std::string chain;     ///< Inputs and outputs so far, as a replica is to get them.
  std::string lastTurn;  ///< Answered whole.
  bool isResumed = false;
  bool isBroken = false;
  bool isDone = false;
};

Try makeTry(const Program& program, const std::string& id, const std::string& input) {
  Try sent;
  sent.id = id;
  sent.target = std::string(kChat) + "4b";
  sent.headerLines =
      "Gorsetrail-Model: m\r\nGorsetrail-Program-Id: " + program.name +
      "\r\nGorsetrail-Session-Id: s-" + program.name +
      "\r\nGorsetrail-Finish-Ms: 30000\r\nGorsetrail-Token-Budget: 4000\r\n"
      "Gorsetrail-Token-Usage: 400,100\r\nGorsetrail-Prompt-Prefix: 5c1e07a2:400\r\n";
  if (!program.lastTurn.empty()) {
    sent.headerLines += "Gorsetrail-Previous-Turn: " + program.lastTurn + "\r\n";
  }
  sent.body = input;
  return sent;
}

/// Takes a turn, resuming its stream at another node if the connection breaks.
bool takeTurn(Program& program, const std::string& label,
              const std::function<void(const Answer&)>& onPart) {
  const std::string input = "input " + label + " of " + program.name + "\n";
  std::string received;
  std::string id = program.name + "-" + label;
  constexpr int kTries = 12;
  for (int number = 1; number <= kTries; ++number) {
    Try sent = makeTry(program, id, input);
    const int events = Answer{0, {}, received, false}.events();
    if (events > 0) {
      sent.headerLines += "Last-Event-Id: " + std::to_string(events) + "\r\n";
      program.isResumed = true;
    }
    const Answer answer = program.caller->send(program.address, sent, onPart);
    received += answer.status == 200 ? wholeEvents(answer.body) : std::string();
    if (answer.isSuccess()) {
      program.chain += input + dataOf(received);
      program.lastTurn = id;
      return true;
    }
    if (answer.status == 0 || answer.status == 200) {
      program.address = program.caller->chooseAddress(program.address);
    }
    id = program.name + "-" + label + "-again" + std::to_string(number);
    std::this_thread::sleep_for(Milliseconds(200));
  }
  return false;
}

/// Compares what the replica got with the chain.
void checkChain(Program& program, SmallDeployment& world) {
  const std::string input = "input 2 of " + program.name + "\n";
  const std::string due = program.chain + input;
  if (!takeTurn(program, "2", {})) {
    return;
  }
  program.isDone = true;
  for (const Run& run : world.runs.of(program.lastTurn)) {
    if (run.body != due) {
      program.isBroken = true;
      world.record.line("UNASKED: replica " + run.replica + " ran " + program.lastTurn +
                        " with a body of " + std::to_string(run.body.size()) +
                        " bytes; the chain and the input are " + std::to_string(due.size()) +
                        " bytes. It got:\n" + run.body + "It was due:\n" + due);
    }
  }
}

int play(const CaseOptions& options) {
  Record record(options.recordFile);
  SmallDeployment world(options, kNodes, record);
  world.store.put("keyed.op", "config", configuration());
  for (const char* const id : {"i-1", "i-2", "i-3"}) {
    ReplicaOptions replica;
    replica.id = id;
    replica.service = "pool";
    replica.zone = std::string("hall-") + id[2];
    replica.streamPrefix = kChat;
    replica.events = kEvents;
    replica.eventPause = Milliseconds(100);
    world.replicas.push_back(
        std::make_unique<Replica>("127.0.0.1", replica, world.store, world.runs, record));
  }
  if (!world.start()) {
    return kCouldNotRun;
  }
  // A node continues streams of others once it has known the replicas for twenty seconds.
  std::this_thread::sleep_for(std::chrono::seconds(20));
  Node& victim = *world.nodes.front();
  std::atomic<bool> isKillDue{false};
  std::vector<Program> programs(kPrograms);
  std::vector<std::thread> threads;
  for (int number = 0; number < kPrograms; ++number) {
    Program& program = programs[number];
    program.name = "p" + std::to_string(number);
    program.caller = std::make_unique<Caller>(kHost, world.plan.region, world.plan.zones[1],
                                              world.directories(), record, number);
    program.address = world.nodes[number % kNodes]->frontend();
    threads.emplace_back([&program, &isKillDue, &world] {
      const bool isTaken = takeTurn(program, "1", [&isKillDue](const Answer& answer) {
        isKillDue = isKillDue || answer.events() >= kEventsBeforeKill;
      });
      if (isTaken) {
        checkChain(program, world);
      }
    });
  }
  while (options.isTroubled && !isKillDue) {
    std::this_thread::sleep_for(Milliseconds(5));
  }
  if (options.isTroubled) {
    victim.kill();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    victim.start();
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  int done = 0;
  int resumed = 0;
  int broken = 0;
  for (const Program& program : programs) {
    done += program.isDone ? 1 : 0;
    resumed += program.isResumed ? 1 : 0;
    broken += program.isBroken ? 1 : 0;
  }
  const std::string result = std::to_string(done) + " of " + std::to_string(kPrograms) +
                             " programs took two turns, " + std::to_string(resumed) +
                             " of them resumed a stream; " + std::to_string(broken) +
                             " next turns ran with a body that is not the chain";
  record.line("result: " + result);
  std::cout << result << '\n';
  if (done == 0 || (options.isTroubled && resumed == 0)) {
    return kCouldNotRun;
  }
  return broken > 0 ? kRuleBroken : kRuleHeld;
}

}  // namespace

int main(int argc, char** argv) {
  const auto options = review::parseCaseOptions(argc, argv);
  if (!options) {
    std::cerr << "usage: resumed_turn COMMAND FOLDER RECORD\n";
    return review::kCouldNotRun;
  }
  try {
    return play(*options);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return review::kCouldNotRun;
  }
}
