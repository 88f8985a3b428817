/// \file Configuration of `gorsetrail-lab load`.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"

namespace gorsetrail::load {

/// A node's side for callers.
struct NodeAddress {
  std::uint32_t node = 0;
  std::string zone;
  std::string callers;       ///< `ip:port`.
  bool plannedStop = false;  ///< It may be stopped during the run, but only in a planned way.
};

/// A tenant whose programs are run, with its budget as the bundle has it.
struct TenantLoad {
  std::string name;
  std::uint32_t callsPerProgram = 0;
  std::uint64_t tokensPerProgram = 0;
};

/// A range; both ends are in it.
struct Range {
  std::uint32_t minimum = 0;
  std::uint32_t maximum = 0;
};

/// What the programs of a site do.
struct Workload {
  std::uint32_t programs = 100;
  std::uint32_t concurrency = 16;       ///< Programs at the same time.
  Duration maximumTime = seconds(120);  ///< No program is started later.
  Range turns{2, 6};
  Range firstPromptBytes{200, 2000};
  Range turnBytes{40, 400};
  std::uint32_t sharedPrefixBytes = 1000;  ///< Of each work's prompts, the same for all programs.
  std::uint32_t maximumTokens = 64;
  std::uint32_t streamPerMille = 500;       ///< Share of the calls that are streamed.
  std::uint32_t toolPerMille = 400;         ///< Share of the turns that wait for a tool.
  std::uint32_t branchPerMille = 150;       ///< Share of the turns with a sub-agent beside them.
  std::uint32_t applicationPerMille = 300;  ///< Share of the turns with an application request.
  std::uint32_t repeatPerMille = 100;       ///< Share of the answered calls asked once more.
  std::uint32_t loopingPrograms = 0;        ///< Programs that never end by themselves.
  std::string loopingTenant;                ///< Theirs; the first tenant when empty.
  Duration callTimeLimit = seconds(30);
  Duration toolTimeLimit = seconds(2);
  std::uint32_t maximumAttempts = 12;  ///< Of one call, with the same request id.
};

/// Marks one engine as leaving during the run.
struct LeavingTest {
  std::string engine;           ///< `ip:port`.
  Duration after = seconds(3);  ///< From the start of the run.
  Duration grace = seconds(3);  ///< In which new work may still come.
  Duration watch = seconds(3);  ///< After the grace, until it serves again.
};

struct SiteLoad {
  std::string name;
  std::vector<NodeAddress> nodes;
  std::vector<std::string> engines;       ///< `ip:port`, for the checks of memory.
  std::vector<std::string> applications;  ///< `ip:port`, for the checks of runs.
  std::string tools;                      ///< `ip:port`; empty: no tool pauses.
  std::vector<TenantLoad> tenants;
  std::vector<std::string> engineWorks;
  std::vector<std::string> applicationWorks;  ///< Non-repeatable ones.
  Workload workload;
  std::optional<LeavingTest> leavingTest;
};

struct LoadConfig {
  std::uint64_t seed = 1;
  Duration bundleGrace = seconds(10);
  Duration holdsEmptyAfter = seconds(30);  ///< From the end of the programs.
  Duration statusInterval = milliseconds(500);
  std::vector<SiteLoad> sites;
};

/// \return the configuration, or `InvalidSettings` that names the key at fault.
Result<LoadConfig> parseLoadConfig(std::string_view text, const std::string& source);
/// Reads a file; see `parseLoadConfig`.
Result<LoadConfig> readLoadConfig(const std::string& path);

}  // namespace gorsetrail::load
