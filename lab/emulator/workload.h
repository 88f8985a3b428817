/// \file What runs in an emulation: programs, documents, engines and delays, read from a file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/result.h"
#include "base/time.h"
#include "lab/enginemodel/engine_model.h"

namespace gorsetrail::emulator {

/// A log-normal distribution cut off at both ends. A median of 0 always gives 0.
struct Distribution {
  double median = 0.0;
  double sigma = 0.0;  ///< Of the natural logarithm; above 1 the tail is heavy.
  double minimum = 0.0;
  double maximum = 0.0;

  [[nodiscard]] double sample(RandomSource& random) const;
  [[nodiscard]] std::uint32_t sampleCount(RandomSource& random) const;
  [[nodiscard]] Duration sampleMilliseconds(RandomSource& random) const;
};

/// One kind of program. Times are in milliseconds, lengths in tokens.
struct ProgramClass {
  std::string name;
  double share = 1.0;              ///< Of all arrivals, relative to the other classes.
  std::uint32_t priority = 0;      ///< The bundle's level; higher goes first.
  std::uint32_t systemTokens = 0;  ///< Common to all programs of the class.
  bool readsDocument = false;      ///< Its prompt goes on with a shared document.
  Distribution turns;
  Distribution firstMessageTokens;
  Distribution turnMessageTokens;  ///< Tool result or the person's next message.
  Distribution answerTokens;
  Distribution toolMilliseconds;
  double subAgentProbability = 0.0;  ///< At each turn but the last.
  std::uint32_t maximumSubAgents = 0;
  double abandonProbability = 0.0;    ///< At each turn: the caller is never heard of again.
  Distribution patienceMilliseconds;  ///< A person leaves when one answer takes longer; 0: waits.
};

/// Documents that many programs share, chosen by a Zipf law.
struct DocumentSet {
  std::uint32_t count = 0;
  double zipfExponent = 1.0;
  Distribution tokens;
};

/// Times of many arrivals: `factor` times the usual rate for `length` in each `period`.
struct Bursts {
  Duration period{};
  Duration length{};
  double factor = 1.0;
};

/// A workload file.
struct Workload {
  std::string name;
  std::uint32_t replicas = 1;
  std::uint32_t nodes = 1;    ///< Deciding nodes, each with its own beliefs.
  std::uint32_t tenants = 1;  ///< Chosen by a Zipf law of exponent 1.
  double latencyWeight = 0.5;
  /// Offered least engine time, as a share of all engines' time, that counts as load 1: the most
  /// at which `sticky-lru` keeps p95 program latency within 4 times that of an idle site.
  double capacityShare = 1.0;
  Duration duration{};                ///< Of arrivals.
  Duration warmUp{};                  ///< Programs that arrive in it are not measured.
  Duration oneWayDelay{};             ///< Node to engine.
  Duration reportInterval{};          ///< Load reports and cache events reach a node so often.
  double eventLossProbability = 0.0;  ///< Of one batch of one replica's cache events.
  std::uint32_t maximumContextTokens = 0;
  enginemodel::EngineOptions engine;
  DocumentSet documents;
  Bursts bursts;
  std::vector<ProgramClass> classes;
};

/// Reads and checks a workload file. Errors are `InvalidSettings` with the JSON path at fault.
Result<Workload> readWorkload(const std::string& path);

}  // namespace gorsetrail::emulator
