/// \file One edge node as a process of its own, and what the kernel tells of it.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace gorsetrail::lab {

/// Settings of a node on a loopback address.
struct NodeProcessSettings {
  std::string ip;
  std::string zone = "z";
  std::string storeAddress;
  unsigned memoryMb = 64;
  unsigned maximumDescriptors = 1024;
  unsigned stopLimitS = 8;  ///< A planned stop ends before it.
  std::uint16_t clientPort = 21700;
  std::uint16_t readinessPort = 21701;
  std::uint16_t controlPort = 21702;
  std::uint16_t directoryPort = 21703;
  std::uint16_t metricsPort = 21704;
  std::uint16_t firstInternalPort = 21730;

  [[nodiscard]] std::string addressOf(std::uint16_t port) const {
    return ip + ":" + std::to_string(port);
  }
  [[nodiscard]] std::string clientAddress() const { return addressOf(clientPort); }
};

/// Starts `gorsetrail-edge` of the folder of the running program, and kills it when destroyed.
class NodeProcess {
 public:
  /// \param directory for the settings file and the log.
  NodeProcess(const NodeProcessSettings& settings, const std::string& directory);
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  [[nodiscard]] bool isRunning();
  void signal(int signalNumber) const;
  [[nodiscard]] pid_t id() const { return process_; }

 private:
  pid_t process_ = -1;
};

}  // namespace gorsetrail::lab
