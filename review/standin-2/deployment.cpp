#include "deployment.h"

#include <cstdlib>
#include <thread>

namespace review {

std::optional<CaseOptions> parseCaseOptions(int argc, char** argv) {
  constexpr int kWords = 4;
  if (argc != kWords) {
    return std::nullopt;
  }
  CaseOptions options{argv[1], argv[2], argv[3], true};
  const char* const trouble = std::getenv("TROUBLE");
  options.isTroubled = trouble == nullptr || std::string(trouble) != "0";
  return options;
}

SmallDeployment::SmallDeployment(const CaseOptions& options, std::size_t nodeCount, Record& made)
    : record(made), store("127.0.0.1") {
  plan.folder = options.folder;
  plan.command = options.command;
  plan.storeAddress = store.address();
  plan.subnet = ownSubnet();
  for (std::size_t index = 0; index < nodeCount; ++index) {
    plan.zones.push_back("hall-" + std::to_string(index + 1));
  }
  const std::uint16_t firstPort = freePortBlock(plan.subnet, nodeCount);
  for (std::size_t index = 0; index < nodeCount; ++index) {
    nodes.push_back(std::make_unique<Node>(plan, index, firstPort, record));
  }
}

bool SmallDeployment::start() {
  for (const auto& node : nodes) {
    node->start();
  }
  bool allReady = true;
  for (const auto& node : nodes) {
    allReady = waitReady(*node) && allReady;
  }
  // Traffic starts ten seconds after the machines do; half of that is enough for a few nodes.
  std::this_thread::sleep_for(std::chrono::seconds(5));
  return allReady;
}

bool SmallDeployment::waitReady(const Node& node) const {
  constexpr int kTries = 100;
  for (int number = 0; number < kTries; ++number) {
    if (node.isReady()) {
      record.line("node " + node.ip() + ": ready");
      return true;
    }
    std::this_thread::sleep_for(Milliseconds(100));
  }
  record.line("node " + node.ip() + ": not ready");
  return false;
}

std::vector<std::string> SmallDeployment::directories() const {
  std::vector<std::string> addresses;
  for (const auto& node : nodes) {
    addresses.push_back(node->directory());
  }
  return addresses;
}

std::string routeText(const std::string& name, const std::string& prefix, const std::string& type,
                      const std::string& service, const std::string& more) {
  return "{\"name\":\"" + name + "\",\"host\":\"" + kHost + "\",\"pathPrefix\":\"" + prefix +
         "\",\"routeType\":\"" + type + "\",\"service\":\"" + service + "\",\"maxAttempts\":1," +
         more + "}";
}

}  // namespace review
