#include "lab/hostile/process_figures.h"

#include <arpa/inet.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string_view>

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

std::map<std::string, std::size_t> unreadBytesAt(const std::vector<std::string>& ips) {
  // A line begins: ` 12: LOCALADR:PORT REMOTADR:PORT STATE TXQUEUE_:RXQUEUE_`, all in hexadecimal.
  constexpr std::size_t kAddressDigits = 8;
  constexpr std::size_t kStateAt = 28;
  constexpr std::size_t kUnreadAt = 40;
  constexpr std::string_view kEstablished = "01";
  constexpr std::string_view kClosedByPeer = "08";
  constexpr int kHexadecimal = 16;
  std::map<std::string, std::size_t> unread;
  std::map<std::string, std::size_t*> byAddress;
  for (const std::string& ip : ips) {
    in_addr address{};
    ::inet_pton(AF_INET, ip.c_str(), &address);
    char text[kAddressDigits + 1];
    std::snprintf(text, sizeof(text), "%08X", address.s_addr);
    byAddress[text] = &unread[ip];
  }
  std::ifstream table("/proc/net/tcp");
  for (std::string line; std::getline(table, line);) {
    const std::size_t begin = line.find(": ") + 2;
    if (line.size() < begin + kUnreadAt + kAddressDigits) {
      continue;
    }
    // The table may have thousands of closed connections: the state is the first to look at.
    const std::string_view state(line.data() + begin + kStateAt, 2);
    if (state != kEstablished && state != kClosedByPeer) {
      continue;
    }
    const auto found = byAddress.find(line.substr(begin, kAddressDigits));
    if (found != byAddress.end()) {
      *found->second += std::strtoull(line.c_str() + begin + kUnreadAt, nullptr, kHexadecimal);
    }
  }
  return unread;
}

}  // namespace gorsetrail::lab
