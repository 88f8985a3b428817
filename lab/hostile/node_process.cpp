#include "lab/hostile/node_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <vector>

namespace gorsetrail::lab {
namespace {

namespace fs = std::filesystem;

constexpr int kLogMode = 0644;

std::string writeSettings(const NodeProcessSettings& settings, const std::string& directory) {
  std::string path = directory + "/" + settings.ip + ".toml";
  std::ofstream file(path);
  file << "nodeName = \"node-" << settings.ip << "\"\nip = \"" << settings.ip << "\"\nzone = \""
       << settings.zone << "\"\nregion = \"r\"\ninternalPorts = [" << settings.firstInternalPort
       << "," << settings.firstInternalPort + 15 << "]\nseeds = []\n[zones]\n"
       << settings.zone << " = \"r\"\n[listen]\nfrontend = \"" << settings.clientAddress()
       << "\"\nreadiness = \"" << settings.addressOf(settings.readinessPort) << "\"\ncontrol = \""
       << settings.addressOf(settings.controlPort) << "\"\ndirectory = \""
       << settings.addressOf(settings.directoryPort)
       << "\"\n[limits]\nmemoryMb = " << settings.memoryMb
       << "\nmaxFds = " << settings.maximumDescriptors << "\n[platform]\naddress = \""
       << settings.storeAddress << "\"\nparts = 8\n[bounds]\ngraceS = " << settings.stopLimitS
       << "\n";
  return path;
}

pid_t start(const std::vector<std::string>& words, const std::string& logPath) {
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (const std::string& word : words) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logPath.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, kLogMode);
  ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t process = -1;
  const int error =
      ::posix_spawn(&process, words.front().c_str(), &actions, nullptr, arguments.data(), environ);
  ::posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("cannot start " + words.front() + ": build it first");
  }
  return process;
}

}  // namespace

NodeProcess::NodeProcess(const NodeProcessSettings& settings, const std::string& directory) {
  const fs::path program = fs::read_symlink("/proc/self/exe").parent_path() / "gorsetrail-edge";
  process_ = start({program.string(), "--settings=" + writeSettings(settings, directory),
                    "--metrics_port=" + std::to_string(settings.metricsPort)},
                   directory + "/" + settings.ip + ".log");
}

NodeProcess::~NodeProcess() {
  if (isRunning()) {
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
  }
}

bool NodeProcess::isRunning() {
  if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) != 0) {
    process_ = -1;
  }
  return process_ > 0;
}

void NodeProcess::signal(int signalNumber) const {
  if (process_ > 0) {
    ::kill(process_, signalNumber);
  }
}

}  // namespace gorsetrail::lab
