#include "lab/sim/platform.h"

#include <algorithm>

namespace gorsetrail::sim {
namespace {

constexpr Duration kLogDelay = milliseconds(2);
constexpr Duration kSlowLogDelay = seconds(5);
constexpr Duration kAppendTimeout = seconds(1);
constexpr Duration kPublishRetry = seconds(1);
constexpr const char* kBundleStream = "bundle";
constexpr std::uint32_t kWeightSteps = 1000;

}  // namespace

void SimLog::setDown(bool down) {
  down_ = down;
  if (!down) {
    upSince_ = context_.now();
  }
}

Duration SimLog::roundTrip() { return slow_ ? kSlowLogDelay : kLogDelay; }

void SimLog::answer(NodeId node, Incarnation life, std::uint64_t sequence, bool taken,
                    Duration after) {
  context_.events.scheduleAfter(after, [this, node, life, sequence, taken] {
    host_.post(node, life, [sequence, taken](node::NodeCore& core, Instant now) {
      core.onLogAppended(sequence, taken, now);
    });
  });
}

void SimLog::appendFrom(const SimNode& node, const node::AppendLogRecord& command) {
  // The platform stands outside the zones: a partitioned zone does not reach it.
  if (down_ || context_.network.isPartitioned(node.zone)) {
    answer(node.id, node.incarnation, command.sequence, false, kAppendTimeout);
    return;
  }
  streams_[command.stream].push_back(command.record);
  context_.figures.count("log_records");
  const bool lost = losesAnswers_ && context_.happens(500);
  answer(node.id, node.incarnation, command.sequence, !lost, lost ? kAppendTimeout : roundTrip());
}

void SimLog::readBundles(SimNode& node) {
  if (down_ || !node.running() || context_.network.isPartitioned(node.zone)) {
    return;
  }
  const std::vector<std::string>& records = streams_[kBundleStream];
  for (; node.bundleCursor < records.size(); ++node.bundleCursor) {
    const std::string& record = records[node.bundleCursor];
    context_.events.scheduleAfter(
        roundTrip(), [this, id = node.id, life = node.incarnation, record] {
          host_.post(id, life, [record](node::NodeCore& core, Instant now) {
            core.onBundleEnvelope(record, now);
          });
        });
  }
}

void SimMachineList::note(NodeId node, Incarnation incarnation, membership::MemberState state) {
  lines_.push_back({context_.now() + context_.scenario.machineListLag, {node, incarnation, state}});
}

void SimMachineList::tell(SimNode& node) {
  if (!node.running() || context_.network.isPartitioned(node.zone)) {
    return;
  }
  std::map<std::pair<NodeId, Incarnation>, membership::MachineListEntry> latest;
  for (const Line& line : lines_) {
    if (line.visibleAt <= context_.now()) {
      latest[{line.line.node, line.line.incarnation}] = line.line;
    }
  }
  std::vector<membership::MachineListEntry> list;
  list.reserve(latest.size());
  for (const auto& [key, line] : latest) {
    list.push_back(line);
  }
  host_.post(node.id, [list](node::NodeCore& core, Instant now) { core.onMachineList(list, now); });
}

BundleChoice SimOperator::nextChoice() {
  BundleChoice choice;
  choice.version = accepted_.version.next();
  choice.latencyWeight = static_cast<double>(++publications_ % kWeightSteps) / kWeightSteps;
  choice.callsPerProgram = context_.scenario.budget.calls;
  choice.tokensPerProgram = context_.scenario.budget.tokens;
  choice.leaving = leaving_;
  return choice;
}

void SimOperator::append(const BundleChoice& choice) {
  log_.append(kBundleStream, makeEnvelope(context_.scenario, choice));
  if (choice.version != accepted_.version.next()) {
    return;  // The other racer was first: this one has lost.
  }
  accepted_ = choice;
  acceptedAt_ = context_.now();
  weights_[choice.version] = choice.latencyWeight;
  for (const std::string& backend : choice.leaving) {
    context_.checker.onBackendLeaving(backend, true, context_.now());
  }
  context_.figures.count("bundles_accepted");
}

void SimOperator::publish() {
  if (log_.isDown()) {
    context_.events.scheduleAfter(kPublishRetry, [this] { publish(); });
    return;
  }
  append(nextChoice());
}

void SimOperator::race() {
  if (log_.isDown()) {
    context_.events.scheduleAfter(kPublishRetry, [this] { race(); });
    return;
  }
  const BundleChoice first = nextChoice();
  const BundleChoice second = nextChoice();
  append(first);
  append(second);
}

void SimOperator::setLeaving(const std::string& backend, bool leaving) {
  if (leaving) {
    leaving_.insert(backend);
  } else {
    leaving_.erase(backend);
  }
}

double SimOperator::acceptedWeight(BundleVersion version) const {
  const auto found = weights_.find(version);
  return found == weights_.end() ? -1.0 : found->second;
}

}  // namespace gorsetrail::sim
