#include "lab/faultsoak/fault_series.h"

#include <algorithm>

namespace gorsetrail::lab {
namespace {

/// From at once to behind most of a graceful stop, which ends when the requests under way do.
constexpr Duration kShortestGap = milliseconds(10);
constexpr Duration kLongestGap = milliseconds(700);
/// The next process starts within this time of the last one's end.
constexpr Duration kShortestRestart = milliseconds(400);
constexpr Duration kLongestRestart = milliseconds(1200);
constexpr Duration kShortestSeriesPause = milliseconds(300);
constexpr Duration kLongestSeriesPause = milliseconds(1500);
constexpr int kRepetitions = 3;
/// With more nodes, a rolling restart leaves the others alone: it would outlast most soaks.
constexpr std::size_t kMostRestarted = 8;

/// Lines faults up, each a random gap behind the last one.
class SeriesBuilder {
 public:
  SeriesBuilder(RandomSource& random, Duration at, std::size_t target)
      : random_(random), at_(at), target_(target) {}

  SeriesBuilder& strike(SoakFaultKind kind) {
    SoakFault fault;
    fault.kind = kind;
    fault.at = at_;
    fault.target = target_;
    if (kind == SoakFaultKind::RestartReplica) {
      fault.duration = randomDuration(random_, kShortestGap, kShortestRestart);
    }
    if (kind == SoakFaultKind::PauseNode) {
      fault.duration = randomDuration(random_, kShortestSeriesPause, kLongestSeriesPause);
    }
    faults_.push_back(fault);
    return *this;
  }
  SeriesBuilder& wait(Duration shortest, Duration longest) {
    at_ += randomDuration(random_, shortest, longest);
    return *this;
  }
  SeriesBuilder& waitShortly() { return wait(kShortestGap, kLongestGap); }
  void turnTo(std::size_t target) { target_ = target; }
  std::vector<SoakFault> take() { return std::move(faults_); }

 private:
  RandomSource& random_;
  Duration at_;
  std::size_t target_;
  std::vector<SoakFault> faults_;
};

void planRollingRestart(SeriesBuilder& builder, RandomSource& random, std::size_t nodes) {
  const std::size_t restarted = std::min(nodes, kMostRestarted);
  const std::size_t first = random.below(nodes);
  const std::size_t pausedAt = random.below(restarted);
  const std::size_t changedAt = random.below(restarted);
  for (std::size_t step = 0; step < restarted; ++step) {
    builder.turnTo((first + step) % nodes);
    builder.strike(SoakFaultKind::StopNode);
    if (step == pausedAt) {
      builder.turnTo(random.below(nodes));
      builder.waitShortly().strike(SoakFaultKind::PauseNode);
    }
    if (step == changedAt) {
      builder.waitShortly().strike(SoakFaultKind::Configuration);
    }
    builder.wait(kShortestRestart, kLongestRestart);
  }
}

void repeat(SeriesBuilder& builder, SoakFaultKind kind, Duration shortest, Duration longest) {
  for (int number = 0; number < kRepetitions; ++number) {
    builder.strike(kind).wait(shortest, longest);
  }
}

}  // namespace

std::vector<SoakFault> planSeries(FaultSeries series, RandomSource& random, Duration at,
                                  std::size_t nodes, std::size_t replicas) {
  SeriesBuilder builder(random, at, random.below(nodes));
  switch (series) {
    case FaultSeries::StopTwice:
      builder.strike(SoakFaultKind::StopNode).waitShortly().strike(SoakFaultKind::StopNode);
      break;
    case FaultSeries::KillAmidStop:
      builder.strike(SoakFaultKind::StopNode).waitShortly().strike(SoakFaultKind::KillNode);
      break;
    case FaultSeries::ReloadAmidStop:
      builder.strike(SoakFaultKind::StopNode).waitShortly().strike(SoakFaultKind::ReloadSettings);
      break;
    case FaultSeries::PauseAmidStop:
      builder.strike(SoakFaultKind::StopNode).waitShortly().strike(SoakFaultKind::PauseNode);
      break;
    case FaultSeries::StopWhilePaused:
      builder.strike(SoakFaultKind::PauseNode).waitShortly().strike(SoakFaultKind::StopNode);
      break;
    case FaultSeries::ReloadsInARow:
      repeat(builder, SoakFaultKind::ReloadSettings, kShortestGap, kLongestGap);
      break;
    case FaultSeries::KillWhileStarting:
      repeat(builder, SoakFaultKind::KillNode, kShortestRestart, kLongestRestart);
      break;
    case FaultSeries::RollingRestart:
      planRollingRestart(builder, random, nodes);
      break;
    case FaultSeries::ChangesInARow:
      repeat(builder, SoakFaultKind::Configuration, kShortestGap, kLongestGap);
      break;
    case FaultSeries::ReplicaStartsInARow:
      builder.turnTo(random.below(replicas));
      repeat(builder, SoakFaultKind::RestartReplica, kShortestRestart, kLongestRestart);
      break;
  }
  return builder.take();
}

}  // namespace gorsetrail::lab
