/// \file The nodes under review, as separate processes with the command of the deploy file.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "record.h"

namespace review {

/// A small deployment: one region, one node in each zone.
struct Deployment {
  std::string folder;   ///< Temporary: settings and logs.
  std::string command;  ///< Of the deploy file.
  std::string storeAddress;
  std::string region = "region-1";
  std::vector<std::string> zones;
  std::string subnet;  ///< First three numbers of the nodes' addresses.
};

class Node {
 public:
  Node(const Deployment& deployment, std::size_t index, std::uint16_t firstPort, Record& record);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void start();
  /// Sends SIGKILL and waits for the end of the process.
  void kill();
  [[nodiscard]] bool isRunning();
  [[nodiscard]] bool isReady() const;

  [[nodiscard]] const std::string& ip() const { return ip_; }
  [[nodiscard]] std::string frontend() const { return at(0); }
  [[nodiscard]] std::string directory() const { return at(1); }

 private:
  [[nodiscard]] std::string at(int offset) const;
  void writeSettings(const Deployment& deployment, std::size_t index) const;

  std::string name_;
  std::string ip_;
  std::uint16_t firstPort_;
  std::string command_;
  std::string settingsFile_;
  std::string logFile_;
  Record& record_;
  pid_t process_ = -1;
};

/// \return the first of twenty ports that are free on all addresses `subnet`.1 to `subnet`.COUNT.
std::uint16_t freePortBlock(const std::string& subnet, std::size_t count);
/// \return a part of 127/8 that differs between processes.
std::string ownSubnet();

}  // namespace review
