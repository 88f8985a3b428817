/// \file What an engine tells about itself, as late and gappy as the platform's engines do.
#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "base/time.h"
#include "lab/enginemodel/engine_model.h"

namespace gorsetrail::standin {

/// How late and how gappy the reports are.
struct ReportOptions {
  Duration cacheEventLag = milliseconds(300);
  std::uint32_t cacheEventGapPerMille = 10;  ///< Share of the cache events that never come.
  std::uint64_t seed = 1;
};

/// Delays cache events and load reports of one engine.
class EngineReports {
 public:
  explicit EngineReports(ReportOptions options) : options_(options) {}

  /// Notes that the cache has events up to `lastSequence` now.
  void noteSequence(std::uint64_t lastSequence, Instant now);
  /// Takes a load report; it is shown until the next one.
  void noteLoad(const enginemodel::EngineLoad& load, Instant now);

  /// \return body of `GET /v1/cache/events?after=SEQ`.
  [[nodiscard]] std::string cacheEventsJson(const enginemodel::EngineModel& model,
                                            std::uint64_t after, Instant now);
  /// \return body of `GET /v1/load`.
  [[nodiscard]] std::string loadJson(Instant now) const;

 private:
  struct SequenceNote {
    Instant at;
    std::uint64_t lastSequence = 0;
  };

  std::uint64_t visibleSequence(Instant now);
  [[nodiscard]] bool isLost(std::uint64_t sequence) const;

  ReportOptions options_;
  std::deque<SequenceNote> notes_;
  std::uint64_t visible_ = 0;
  enginemodel::EngineLoad load_;
  Instant loadAt_{};
};

}  // namespace gorsetrail::standin
