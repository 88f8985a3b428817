#include "lab/standin/engine_reports.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/random.h"

namespace gorsetrail::standin {
namespace {

constexpr std::uint64_t kPerMille = 1000;
constexpr std::size_t kMaximumEventsPerRead = 2000;
/// Spreads consecutive sequence numbers over the seeds of the generator.
constexpr std::uint64_t kSeedSpread = 0x9e3779b97f4a7c15ULL;

std::string_view nameOf(enginemodel::CacheEventKind kind) {
  return kind == enginemodel::CacheEventKind::Stored ? "stored" : "evicted";
}

}  // namespace

void EngineReports::noteSequence(std::uint64_t lastSequence, Instant now) {
  if (notes_.empty() ? lastSequence > visible_ : lastSequence > notes_.back().lastSequence) {
    notes_.push_back({now, lastSequence});
  }
}

void EngineReports::noteLoad(const enginemodel::EngineLoad& load, Instant now) {
  load_ = load;
  loadAt_ = now;
}

std::uint64_t EngineReports::visibleSequence(Instant now) {
  while (!notes_.empty() && notes_.front().at + options_.cacheEventLag <= now) {
    visible_ = notes_.front().lastSequence;
    notes_.pop_front();
  }
  return visible_;
}

/// The same events are lost for every reader, and for good.
bool EngineReports::isLost(std::uint64_t sequence) const {
  RandomSource random((sequence + options_.seed) * kSeedSpread);
  return random.below(kPerMille) < options_.cacheEventGapPerMille;
}

std::string EngineReports::cacheEventsJson(const enginemodel::EngineModel& model,
                                           std::uint64_t after, Instant now) {
  const std::uint64_t visible = visibleSequence(now);
  nlohmann::json list = nlohmann::json::array();
  std::uint64_t next = std::min(after, visible);
  for (const enginemodel::CacheEvent& event : model.cacheEventsAfter(after)) {
    if (event.sequence > visible || list.size() == kMaximumEventsPerRead) {
      break;
    }
    next = event.sequence;
    if (!isLost(event.sequence)) {
      list.push_back({{"seq", event.sequence},
                      {"kind", nameOf(event.kind)},
                      {"prefix", scheduling::prefixHashToHex(event.prefix)},
                      {"tokens", event.tokens}});
    }
  }
  return nlohmann::json{{"next", next}, {"events", std::move(list)}}.dump();
}

std::string EngineReports::loadJson(Instant now) const {
  const auto age = std::chrono::duration_cast<milliseconds>(now - loadAt_).count();
  return nlohmann::json{{"running", load_.running},
                        {"queued", load_.queued},
                        {"cache_used_per_mille", load_.cacheUsedPerMille},
                        {"leaving", load_.leaving},
                        {"age_ms", age}}
      .dump();
}

}  // namespace gorsetrail::standin
