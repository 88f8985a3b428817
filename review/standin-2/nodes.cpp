#include "nodes.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace review {
namespace {

constexpr int kReadinessPort = 2;
constexpr int kControlPort = 3;
constexpr int kFirstInternalPort = 4;
constexpr int kLastInternalPort = 19;
constexpr int kPortsOfNode = 20;

bool isFree(const std::string& ip, std::uint16_t port) {
  const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  const bool bound = bind(made, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  close(made);
  return bound;
}

std::string nodeIp(const std::string& subnet, std::size_t index) {
  return subnet + "." + std::to_string(index + 1);
}

}  // namespace

std::string ownSubnet() {
  const int process = getpid();
  constexpr int kNumbers = 200;
  return "127." + std::to_string(20 + process % kNumbers) + "." +
         std::to_string(1 + process / kNumbers % kNumbers);
}

std::uint16_t freePortBlock(const std::string& subnet, std::size_t count) {
  constexpr std::uint16_t kLowest = 20000;
  constexpr std::uint16_t kHighest = 30000;
  for (std::uint16_t first = kLowest; first < kHighest; first += kPortsOfNode) {
    bool allFree = true;
    for (std::size_t node = 0; node < count && allFree; ++node) {
      for (int offset = 0; offset < kPortsOfNode && allFree; ++offset) {
        allFree = isFree(nodeIp(subnet, node), static_cast<std::uint16_t>(first + offset));
      }
    }
    if (allFree) {
      return first;
    }
  }
  throw std::runtime_error("no free ports");
}

Node::Node(const Deployment& deployment, std::size_t index, std::uint16_t firstPort, Record& record)
    : name_("edge-" + std::to_string(index + 1)),
      ip_(nodeIp(deployment.subnet, index)),
      firstPort_(firstPort),
      command_(deployment.command),
      settingsFile_(deployment.folder + "/" + name_ + ".toml"),
      logFile_(deployment.folder + "/" + name_ + ".log"),
      record_(record) {
  writeSettings(deployment, index);
}

Node::~Node() { kill(); }

std::string Node::at(int offset) const { return ip_ + ":" + std::to_string(firstPort_ + offset); }

void Node::writeSettings(const Deployment& deployment, std::size_t index) const {
  std::ofstream out(settingsFile_);
  out << "nodeName = \"" << name_ << "\"\nrole = \"edge\"\nmachineClass = \"edge\"\n"
      << "serves = [\"edge\", \"control\", \"directory\"]\nip = \"" << ip_ << "\"\nzone = \""
      << deployment.zones[index] << "\"\nregion = \"" << deployment.region
      << "\"\ninternalPorts = [" << firstPort_ + kFirstInternalPort << ", "
      << firstPort_ + kLastInternalPort << "]\nseeds = [\"" << nodeIp(deployment.subnet, 0) << ":"
      << firstPort_ + kControlPort << "\"]\nbootstrap = true\ncountsAsLoss = false\n"
      << "discovery = \"platform\"\nentry = \"directory\"\nheartbeatMs = 1200\n"
      << "contracts = [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"agent\", "
         "\"stream\", \"engine\", \"platform\"]\n[zones]\n";
  for (const std::string& zone : deployment.zones) {
    out << zone << " = \"" << deployment.region << "\"\n";
  }
  out << "[listen]\nfrontend = \"" << frontend() << "\"\nreadiness = \"" << at(kReadinessPort)
      << "\"\ncontrol = \"" << at(kControlPort) << "\"\ndirectory = \"" << directory() << "\"\n"
      << "[limits]\ncpuShare = 0.5\ncores = 1\nmemoryMb = 230\nmaxFds = 1024\nlinkMbps = 1000.0\n"
         "diskMb = 0\n[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\n"
         "seedLagS = 3\naddrReuseS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4.3\n"
         "drainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\n"
         "downgradeSlackMs = 250\nskewMaxMs = 5000\nrecoveryS = 12\npassMs = 120\n"
         "retryAfterS = 0\nfinishS = 10\nsettleMs = 1000\nttl_max_s = 5\n[platform]\naddress = \""
      << deployment.storeAddress
      << "\"\nform = \"log\"\nwritesPerS = 800\nreadsPerS = 2000\nparts = 8\nappend_ms = 4.0\n"
         "part_mb_per_s = 20.0\nread_mb_per_s = 80.0\nrecord_bytes = 262144\n"
         "call_bytes = 2097152\nretentionS = 300\npart_mb = 200\nttlMinMs = 1000\n";
}

void Node::start() {
  std::vector<std::string> words;
  std::istringstream text(command_);
  for (std::string word; text >> word;) {
    words.push_back(word);
  }
  process_ = fork();
  if (process_ < 0) {
    throw std::runtime_error("cannot start " + command_);
  }
  if (process_ == 0) {
    // The node ends with the case, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(logFile_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    setenv("GORSETRAIL_CONFIG", settingsFile_.c_str(), 1);
    std::vector<char*> arguments;
    for (std::string& word : words) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  record_.line("node " + ip_ + ": started");
}

void Node::kill() {
  if (process_ <= 0) {
    return;
  }
  ::kill(process_, SIGKILL);
  waitpid(process_, nullptr, 0);
  process_ = -1;
  record_.line("node " + ip_ + ": killed");
}

bool Node::isRunning() { return process_ > 0 && waitpid(process_, nullptr, WNOHANG) == 0; }

bool Node::isReady() const {
  constexpr Milliseconds kPatience{500};
  const auto connection = connectTo(at(kReadinessPort), kPatience);
  if (!connection || !connection->write("GET /v1/readyz HTTP/1.1\r\nHost: node\r\n\r\n")) {
    return false;
  }
  const auto head = connection->readHead(kPatience);
  return head && head->startLine.find(" 200") != std::string::npos;
}

}  // namespace review
