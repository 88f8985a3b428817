/// \file Settings of a node: a JSON file, overridden by flags.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/log.h"
#include "base/time.h"
#include "bundle/bundle.h"
#include "membership/membership_service.h"

namespace gorsetrail::node {

struct Settings {
  NodeId self;
  std::string site;
  std::string zone;
  Incarnation incarnation;
  std::string listenCallers;
  std::string listenPeers;
  std::vector<membership::Member> members;
  std::string platformLog;
  std::string platformMachines;
  std::vector<bundle::Operator> trust;
  std::string policy = "prefix-affinity";
  Duration defaultTimeLimit = seconds(60);
  std::uint64_t maximumBodyBytes = std::uint64_t{1024} * 1024;
  std::size_t maximumStreamBufferBytes = std::size_t{256} * 1024;
  std::size_t maximumConnections = 1024;
  Duration stopLimit = seconds(120);
  LogLevel logLevel = LogLevel::Info;
  std::uint64_t seed = 1;
};

/// Flags that stand above the file; each applies when it has a value.
struct SettingsOverrides {
  std::optional<std::uint32_t> node;
  std::optional<std::string> zone;
  std::optional<std::string> listenCallers;
  std::optional<std::string> listenPeers;
  std::optional<std::uint64_t> incarnation;
  std::optional<std::string> logLevel;
};

/// Parses and checks settings. Every error has kind `InvalidSettings` and names file and key in
/// `field` (`FILE: /key/key`) and the remedy.
/// \param fileName for the errors.
/// \param startMicroseconds time since 1970: the incarnation when none is given.
/// \return the settings, or every error at once, never an empty list.
std::variant<Settings, std::vector<Error>> parseSettings(std::string_view json,
                                                         const std::string& fileName,
                                                         const SettingsOverrides& overrides,
                                                         std::uint64_t startMicroseconds);

/// Reads the file and parses it.
std::variant<Settings, std::vector<Error>> loadSettings(const std::string& fileName,
                                                        const SettingsOverrides& overrides,
                                                        std::uint64_t startMicroseconds);

}  // namespace gorsetrail::node
