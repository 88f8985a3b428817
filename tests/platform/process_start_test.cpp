// Guards against a reload during startup that ends the process or is missed. The settings file is a
// pipe, so that SIGHUP and the change arrive while the process still reads it.
#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

namespace {

constexpr std::chrono::milliseconds kPollInterval{20};
constexpr int kMaximumPolls = 500;

/// \return a loopback address derived from the process id, so that parallel runs do not collide.
std::string ownIp() {
  constexpr int kByte = 256;
  const int process = ::getpid();
  return "127." + std::to_string(1 + process / kByte % (kByte - 1)) + "." +
         std::to_string(process % kByte) + ".9";
}

std::string settingsText(const std::string& name) {
  const std::string ip = ownIp();
  return "nodeName = \"" + name + "\"\nip = \"" + ip +
         "\"\nzone = \"a\"\nregion = \"r\"\ninternalPorts = [21730,21745]\n[zones]\na = \"r\"\n"
         "[listen]\nfrontend = \"" +
         ip + ":21700\"\n[limits]\nmemoryMb = 256\nmaxFds = 1024\n[platform]\naddress = \"" + ip +
         ":21799\"\nparts = 8\n";
}

bool waitUntil(const std::function<bool()>& isDone) {
  for (int poll = 0; poll < kMaximumPolls; ++poll) {
    if (isDone()) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

}  // namespace

TEST_GROUP(ProcessStart) {
  const std::filesystem::path directory =
      std::filesystem::temp_directory_path() / ("gorsetrail-start-" + std::to_string(::getpid()));
  const std::string settings = directory / "settings.toml";
  const std::string log = directory / "log";
  pid_t process = -1;

  void setup() override {
    std::filesystem::create_directories(directory);
    LONGS_EQUAL(0, ::mkfifo(settings.c_str(), 0600));
  }
  void teardown() override {
    if (process > 0) {
      ::kill(process, SIGKILL);
      ::waitpid(process, nullptr, 0);
    }
    std::filesystem::remove_all(directory);
  }
  void startProcess() {
    const std::string program =
        std::filesystem::read_symlink("/proc/self/exe").parent_path() / "gorsetrail-edge";
    const std::string flag = "--settings=" + settings;
    process = ::fork();
    if (process == 0) {
      const int output = ::open(log.c_str(), O_CREAT | O_WRONLY, 0600);
      ::dup2(output, STDOUT_FILENO);
      ::execl(program.c_str(), program.c_str(), flag.c_str(), nullptr);
      ::_exit(1);
    }
  }
  bool hasEnded() {
    const bool ended = process > 0 && ::waitpid(process, nullptr, WNOHANG) == process;
    process = ended ? -1 : process;
    return process < 0;
  }
  std::string logText() const {
    std::ifstream file(log);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
  }
};

TEST(ProcessStart, aReloadWhileItStartsIsTakenAndDoesNotEndIt) {
  startProcess();
  // A non-blocking open for writing succeeds once the process has opened the pipe for reading.
  int pipe = -1;
  CHECK_TRUE(waitUntil([&] {
    pipe = ::open(settings.c_str(), O_WRONLY | O_NONBLOCK);
    return pipe >= 0 || hasEnded();
  }));
  CHECK(pipe >= 0);
  ::kill(process, SIGHUP);
  const std::string read = settingsText("read-first");
  LONGS_EQUAL(read.size(), ::write(pipe, read.data(), read.size()));
  const std::string changed = directory / "changed";
  std::ofstream(changed) << settingsText("changed");
  std::filesystem::rename(changed, settings);
  ::close(pipe);
  CHECK_TRUE(waitUntil(
      [&] { return hasEnded() || logText().find("event=reloaded") != std::string::npos; }));
  CHECK_FALSE(hasEnded());
  STRCMP_CONTAINS("event=started node=read-first", logText().c_str());
  STRCMP_CONTAINS("event=reloaded node=changed", logText().c_str());
}
