/// \file Case: a faulty replica sends more after some of its answers. Late bytes of this kind that
/// look like an answer, but name no request, are handed to the client of the next request.
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <thread>

#include "deployment.h"

namespace {

using namespace review;

constexpr std::size_t kNodes = 2;
constexpr int kClients = 8;
constexpr int kRequestsOfClient = 150;
constexpr int kExcessEvery = 50;  ///< 0.02 of the answers of one replica in two.
constexpr char kSafePrefix[] = "/pule252/";
constexpr char kUnsafePrefix[] = "/puxa403/";

std::string configuration() {
  const std::string more =
      "\"timeoutMs\":3000,\"targetLatencyMs\":500,\"priority\":2,\"persisted\":false,"
      "\"sticky\":false,\"resumable\":false";
  return "{\"version\":7,\"routes\":[" + routeText("look", kSafePrefix, "safe", "desk", more) +
         "," + routeText("book", kUnsafePrefix, "unsafe", "desk", more) +
         "],\"services\":[{\"name\":\"desk\",\"healthPath\":\"/healthz\",\"maxConnections\":110,"
         "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
         "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

struct Tally {
  std::atomic<int> successes{0};
  std::atomic<int> withoutSeal{0};
  std::atomic<int> otherBody{0};
  std::atomic<int> foreignThatRan{0};
  std::atomic<int> failures{0};
  std::atomic<int> ranTwice{0};
};

/// \return the excess bytes: by default a whole answer that names no request.
std::string excessBytes() {
  const char* const kind = std::getenv("EXCESS");
  const std::string name = kind == nullptr ? "answer" : kind;
  if (name == "named") {  // As the pages tell it of second answers: the id tells them apart.
    return responseText(200, "Gorsetrail-Request-Id: another\r\n", "bytes of another request\n");
  }
  if (name == "refusal") {
    return responseText(503, "Gorsetrail-Not-Executed: 1\r\n", "");
  }
  return responseText(200, "Content-Type: text/plain\r\n", "bytes of no request\n");
}

void judge(const Try& sent, const Answer& answer, SmallDeployment& world, Tally& tally) {
  if (sent.method == "POST" && world.runs.of(sent.id).size() > 1) {
    ++tally.ranTwice;
    world.record.line("TWICE: " + sent.id + " has run twice, status " +
                      std::to_string(answer.status));
  }
  if (!answer.isSuccess()) {
    ++tally.failures;
    return;
  }
  ++tally.successes;
  const bool isSealed = answer.hasSeal();
  const bool isWholeBody = answer.body == Replica::answerBody(sent.id);
  tally.withoutSeal += isSealed ? 0 : 1;
  tally.otherBody += isWholeBody ? 0 : 1;
  if (!isSealed || !isWholeBody) {
    const std::size_t runs = world.runs.of(sent.id).size();
    tally.foreignThatRan += runs > 0 ? 1 : 0;
    world.record.line("MIXED: " + sent.id + " got a success with seal '" +
                      answer.head.header("Gorsetrail-Response-Seal") + "' and the body '" +
                      answer.body + "'; it has run " + std::to_string(runs) + " times");
  }
}

void runClient(int number, SmallDeployment& world, Tally& tally) {
  Caller caller(kHost, world.plan.region, world.plan.zones[number % kNodes], world.directories(),
                world.record, static_cast<unsigned>(number));
  const std::string address = caller.chooseAddress();
  for (int count = 1; count <= kRequestsOfClient; ++count) {
    const bool isUnsafe = count % 2 == 0;
    Try sent;
    sent.id = "c" + std::to_string(number) + "-" + std::to_string(count);
    sent.method = isUnsafe ? "POST" : "GET";
    sent.target = std::string(isUnsafe ? kUnsafePrefix : kSafePrefix) + "2f";
    sent.body = isUnsafe ? "job " + sent.id : std::string();
    sent.deadline = Milliseconds(3000);
    judge(sent, caller.send(address, sent), world, tally);
    std::this_thread::sleep_for(Milliseconds(2));
  }
}

int play(const CaseOptions& options) {
  Record record(options.recordFile);
  SmallDeployment world(options, kNodes, record);
  world.store.put("keyed.op", "config", configuration());
  for (int number = 1; number <= 2; ++number) {
    ReplicaOptions replica;
    replica.id = "i-" + std::to_string(number);
    replica.service = "desk";
    replica.zone = "hall-" + std::to_string(number);
    replica.slots = 6;
    const bool isFaulty = options.isTroubled && number == 1;
    replica.excessEvery = isFaulty ? kExcessEvery : 0;
    replica.excess = excessBytes();
    world.replicas.push_back(
        std::make_unique<Replica>("127.0.0.1", replica, world.store, world.runs, record));
  }
  if (!world.start()) {
    return kCouldNotRun;
  }
  Tally tally;
  std::vector<std::thread> clients;
  for (int number = 0; number < kClients; ++number) {
    clients.emplace_back([number, &world, &tally] { runClient(number, world, tally); });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  const int excess = world.replicas.front()->excessSent();
  const std::string result =
      std::to_string(tally.successes) + " successes, " + std::to_string(tally.failures) +
      " failures; " + std::to_string(excess) + " times excess bytes; " +
      std::to_string(tally.withoutSeal) + " successes without a seal, " +
      std::to_string(tally.otherBody) + " with another body than the replica's; " +
      std::to_string(tally.foreignThatRan) + " of these requests had run; " +
      std::to_string(tally.ranTwice) + " unsafe requests ran twice";
  record.line("result: " + result);
  std::cout << result << '\n';
  const bool isServed = tally.successes * 2 > kClients * kRequestsOfClient;
  if (!isServed || (options.isTroubled && excess == 0)) {
    return kCouldNotRun;
  }
  return tally.withoutSeal + tally.otherBody + tally.ranTwice > 0 ? kRuleBroken : kRuleHeld;
}

}  // namespace

int main(int argc, char** argv) {
  const auto options = review::parseCaseOptions(argc, argv);
  if (!options) {
    std::cerr << "usage: foreign_answer COMMAND FOLDER RECORD\n";
    return review::kCouldNotRun;
  }
  try {
    return play(*options);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return review::kCouldNotRun;
  }
}
