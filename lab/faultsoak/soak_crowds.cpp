#include "lab/faultsoak/soak_crowds.h"

#include <memory>
#include <optional>
#include <utility>

#include "lab/hostile/process_figures.h"

namespace gorsetrail::lab {
namespace {

constexpr Duration kLookPeriod = milliseconds(500);

std::optional<ProcessLook> lookAt(std::optional<int> process, std::size_t unreadBytes) {
  const std::size_t resident = process ? peakMemoryOf(*process) : 0;
  if (resident == 0) {
    return std::nullopt;  // It has ended since its id was read.
  }
  return ProcessLook{*process, resident + unreadBytes, openDescriptorsOf(*process)};
}

}  // namespace

SoakCrowds::SoakCrowds(boost::asio::io_context& context, services::TimerService& timers,
                       const NodeProcesses& processes, MachineBounds bounds,
                       std::vector<NodeAddress> nodes)
    : context_(context),
      timers_(timers),
      processes_(processes),
      nodes_(std::move(nodes)),
      watch_(bounds, nodes_.size()) {}

void SoakCrowds::schedule(const std::vector<PlannedCrowd>& crowds) {
  for (const PlannedCrowd& planned : crowds) {
    timers_.runAfter(planned.at, [this, planned] { bring(planned); });
  }
}

void SoakCrowds::bring(const PlannedCrowd& planned) {
  const CrowdScript script = crowdScript(planned.kind);
  const auto crowd = std::make_shared<HostileCrowd>(context_, nodes_[planned.node].clients);
  crowd->join(script.connections, script.script);
  // The crowd leaves with the timer's work.
  timers_.runAfter(planned.duration, [this, planned, crowd] {
    connections_[std::string(crowdKindName(planned.kind))] += crowd->counts().connected;
  });
}

void SoakCrowds::startWatching(std::function<void(SoakViolation)> onViolation) {
  onViolation_ = std::move(onViolation);
  look();
}

void SoakCrowds::look() {
  if (!onViolation_) {
    return;
  }
  std::vector<std::string> ips;
  for (const NodeAddress& node : nodes_) {
    ips.push_back(node.ip);
  }
  const std::map<std::string, std::size_t> unread = unreadBytesAt(ips);
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    watch_.onLook(node, lookAt(processes_.processId(node), unread.at(nodes_[node].ip)));
  }
  for (SoakViolation& violation : watch_.takeViolations()) {
    onViolation_(std::move(violation));
  }
  timers_.runAfter(kLookPeriod, [this] { look(); });
}

std::map<std::string, std::uint64_t> SoakCrowds::connections() const {
  std::map<std::string, std::uint64_t> all = connections_;
  for (std::size_t kind = 0; kind < kCrowdKinds; ++kind) {
    all.try_emplace(std::string(crowdKindName(static_cast<CrowdKind>(kind))), 0);
  }
  return all;
}

}  // namespace gorsetrail::lab
