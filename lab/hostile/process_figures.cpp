#include "lab/hostile/process_figures.h"

#include <arpa/inet.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

namespace gorsetrail::lab {
namespace {

constexpr std::size_t kBytesOfKilobyte = 1024;

}  // namespace

std::size_t peakMemoryOf(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);) {
    std::size_t kilobytes = 0;
    if (std::sscanf(line.c_str(), "VmHWM: %zu kB", &kilobytes) == 1) {
      return kilobytes * kBytesOfKilobyte;
    }
  }
  return 0;
}

std::size_t openDescriptorsOf(pid_t process) {
  std::error_code error;
  const std::filesystem::directory_iterator files("/proc/" + std::to_string(process) + "/fd",
                                                  error);
  return error ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

std::size_t unreadBytesAt(const std::string& ip) {
  in_addr address{};
  ::inet_pton(AF_INET, ip.c_str(), &address);
  std::ifstream table("/proc/net/tcp");
  std::size_t bytes = 0;
  for (std::string line; std::getline(table, line);) {
    unsigned local = 0;
    unsigned state = 0;
    std::size_t unread = 0;
    constexpr unsigned kListening = 0x0A;
    // Of a listening socket, the column counts connections that wait to be accepted.
    const int fields =
        std::sscanf(line.c_str(), " %*d: %8X:%*X %*8X:%*X %2X %*8X:%8zX", &local, &state, &unread);
    if (fields == 3 && local == address.s_addr && state != kListening) {
      bytes += unread;
    }
  }
  return bytes;
}

}  // namespace gorsetrail::lab
