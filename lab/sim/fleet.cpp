#include "lab/sim/fleet.h"

#include <malloc.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <numeric>
#include <utility>
#include <vector>

#include "lab/sim/measured_core.h"
#include "lab/sim/platform.h"
#include "scheduling/prefix_chain.h"

namespace gorsetrail::sim {
namespace {

constexpr Duration kListPeriod = seconds(5);
constexpr Duration kReportPeriod = seconds(1);
constexpr Duration kServiceTime = milliseconds(400);
constexpr std::uint32_t kCallsPerProgram = 12;
constexpr std::uint32_t kApplicationPerMille = 100;
constexpr std::size_t kTextBytes = 400;  ///< Of each message and each answer.
constexpr std::uint32_t kAnswerTokens = 100;
constexpr double kEngineShare = 0.75;

Scenario fleetScenario(const FleetOptions& options) {
  Scenario scenario;
  scenario.name = "fleet";
  const std::uint32_t zones = fleetZones(options.nodes);
  for (std::uint32_t number = 0; number < zones; ++number) {
    scenario.zones.push_back({"zone-" + std::to_string(number + 1), options.nodes / zones});
  }
  const std::uint32_t each = options.replicas / zones;
  scenario.enginesPerZone = static_cast<std::uint32_t>(each * kEngineShare);
  scenario.applicationsPerZone = each - scenario.enginesPerZone;
  scenario.idleLease = std::chrono::hours(1);
  return scenario;
}

Spread spreadOf(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  Spread spread;
  spread.mean = std::accumulate(values.begin(), values.end(), 0.0) /
                static_cast<double>(std::max<std::size_t>(1, values.size()));
  spread.p95 = values[static_cast<std::size_t>(0.95 * static_cast<double>(values.size() - 1))];
  spread.worst = values.back();
  return spread;
}

std::size_t heapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// A program of a hollow caller: it only counts its calls and keeps its messages.
struct HollowProgram {
  ProgramKey key;
  std::uint32_t calls = 0;
  bool busy = false;
  std::string messages;  ///< JSON objects, joined by commas.
};

class Fleet {
 public:
  explicit Fleet(const FleetOptions& options)
      : options_(options),
        context_(fleetScenario(options), options.seed),
        usage_(options.nodes),
        host_(context_, [this](node::NodeOptions made) { return makeCore(std::move(made)); }),
        machines_(context_, host_),
        programs_(options.nodes) {
    host_.onCommand(
        [this](SimNode& node, node::NodeCommand& command) { onCommand(node, command); });
    host_.onDown([](SimNode&) {});
  }

  FleetResult run();

 private:
  struct Waiting {
    NodeId node;
    HollowProgram* program;
    bool application;
  };

  node::NodeCorePtr makeCore(node::NodeOptions made) {
    const NodeId self = made.self;
    return std::make_unique<MeasuredCore>(node::makeNodeCore(std::move(made)), self,
                                          usage_[self.value() - 1], measuring_);
  }

  void publishBundle();
  void reportLoads(NodeId id);
  void tellMachines(NodeId id);
  void planCall(NodeId id);
  void makeCall(NodeId id);
  HollowProgram* pickProgram(NodeId id);
  void sendCall(NodeId id, HollowProgram& program);
  void onCommand(SimNode& node, node::NodeCommand& command);
  void serve(const SimNode& node, const engine::StartDispatch& start);
  void answerHold(const SimNode& node, const engine::HoldResult& result);
  void complete(const engine::AnswerCompleted& completed);
  FleetResult collect(double seconds);

  FleetOptions options_;
  SimContext context_;
  bool measuring_ = false;
  std::vector<NodeUsage> usage_;
  NodeHost host_;
  SimMachineList machines_;
  std::vector<std::deque<HollowProgram>> programs_;
  std::map<CallHandle, Waiting> waiting_;
  std::uint64_t nextHandle_ = 1;
  std::uint64_t nextProgram_ = 1;
  std::uint64_t completed_ = 0;
  std::uint64_t refused_ = 0;
};

void Fleet::publishBundle() {
  BundleChoice choice;
  choice.version = BundleVersion(1);
  choice.callsPerProgram = 1000;
  choice.tokensPerProgram = 10'000'000;
  const std::string envelope = makeEnvelope(context_.scenario, choice);
  for (const SimNode& node : host_.nodes()) {
    host_.post(node.id, [&envelope](node::NodeCore& core, Instant now) {
      core.onBundleEnvelope(envelope, now);
    });
  }
}

void Fleet::reportLoads(NodeId id) {
  SimNode& node = host_.node(id);
  for (const bundle::Backend& backend : node.core->observedBackends()) {
    node::BackendReport report;
    report.backendName = backend.name;
    report.runningStreams = static_cast<std::uint32_t>(context_.random.below(32));
    report.queuedRequests = static_cast<std::uint32_t>(context_.random.below(4));
    report.cacheUsedPerMille = static_cast<std::uint32_t>(context_.random.below(1000));
    host_.post(id,
               [&report](node::NodeCore& core, Instant now) { core.onBackendReport(report, now); });
  }
  context_.events.scheduleAfter(kReportPeriod, [this, id] { reportLoads(id); });
}

void Fleet::tellMachines(NodeId id) {
  machines_.tell(host_.node(id));
  context_.events.scheduleAfter(kListPeriod, [this, id] { tellMachines(id); });
}

void Fleet::planCall(NodeId id) {
  const double meanMicroseconds = 1e6 / options_.requestsPerSecondPerNode;
  const Duration mean(static_cast<Duration::rep>(meanMicroseconds));
  context_.events.scheduleAfter(context_.exponential(mean), [this, id] {
    makeCall(id);
    planCall(id);
  });
}

void Fleet::makeCall(NodeId id) {
  HollowProgram* program = pickProgram(id);
  if (program != nullptr) {
    sendCall(id, *program);
  }
}

/// Opens programs until the node has its number, then takes them in turn.
HollowProgram* Fleet::pickProgram(NodeId id) {
  std::deque<HollowProgram>& programs = programs_[id.value() - 1];
  if (programs.size() < options_.programsPerNode) {
    HollowProgram program;
    program.key = {host_.node(id).zone, kTenant, "program-" + std::to_string(nextProgram_++)};
    programs.push_back(std::move(program));
    return &programs.back();
  }
  for (int tries = 0; tries < 8; ++tries) {
    HollowProgram& program = programs[context_.random.below(programs.size())];
    if (!program.busy) {
      return &program;
    }
  }
  return nullptr;
}

void Fleet::sendCall(NodeId id, HollowProgram& program) {
  if (program.calls >= kCallsPerProgram) {
    const CallHandle closing(nextHandle_++);
    host_.post(id, [closing, key = program.key](node::NodeCore& core, Instant now) {
      core.onCloseProgram(closing, key, now);
    });
    program.key.name = "program-" + std::to_string(nextProgram_++);
    program.calls = 0;
    program.messages.clear();
  }
  const bool application = program.calls > 0 && context_.happens(kApplicationPerMille);
  const std::string message =
      R"({"role":"user","content":")" + std::string(kTextBytes, 'q') + "\"}";
  engine::CallRequest request;
  request.handle = CallHandle(nextHandle_++);
  request.key = program.key;
  request.idempotencyKey = "request-" + std::to_string(request.handle.value());
  request.repeatable = !application;
  request.work = application ? kApplicationWork : kEngineWork;
  if (!application) {
    program.messages += (program.messages.empty() ? "" : ",") + message;
  }
  request.messages = "[" + (application ? message : program.messages) + "]";
  request.body = R"({"messages":)" + request.messages + R"(,"max_tokens":200})";
  request.maximumTokens = 2 * kAnswerTokens;
  request.timeLimit = seconds(60);
  ++program.calls;
  program.busy = true;
  waiting_[request.handle] = {id, &program, application};
  host_.post(id, [request](node::NodeCore& core, Instant now) { core.onCall(request, now); });
}

void Fleet::onCommand(SimNode& node, node::NodeCommand& command) {
  if (const auto* start = std::get_if<engine::StartDispatch>(&command)) {
    serve(node, *start);
  } else if (const auto* completed = std::get_if<engine::AnswerCompleted>(&command)) {
    complete(*completed);
  } else if (const auto* refused = std::get_if<engine::AnswerRefused>(&command)) {
    const auto found = waiting_.find(refused->handle);
    if (found != waiting_.end()) {
      refused_ += measuring_ ? 1 : 0;
      found->second.program->calls = kCallsPerProgram;  // Goes on as a new program.
      found->second.program->busy = false;
      waiting_.erase(found);
    }
  } else if (const auto* place = std::get_if<engine::PlaceHold>(&command)) {
    answerHold(node, {place->order, place->backendName, engine::HoldOutcome::Done});
  } else if (const auto* release = std::get_if<engine::ReleaseHold>(&command)) {
    answerHold(node, {release->order, release->backendName, engine::HoldOutcome::Done});
  } else if (const auto* append = std::get_if<node::AppendLogRecord>(&command)) {
    context_.events.scheduleAfter(milliseconds(2),
                                  [this, id = node.id, sequence = append->sequence] {
                                    host_.post(id, [sequence](node::NodeCore& core, Instant now) {
                                      core.onLogAppended(sequence, true, now);
                                    });
                                  });
  }
}

/// The stand-in data path: an answer after the mean time of service, without a stream.
void Fleet::serve(const SimNode& node, const engine::StartDispatch& start) {
  const engine::DispatchFinished finished{start.id.attempt, std::string(kTextBytes, 'a'),
                                          scheduling::estimatedTokens(start.body), 0,
                                          kAnswerTokens};
  context_.events.scheduleAfter(
      context_.exponential(kServiceTime), [this, id = node.id, handle = start.handle, finished] {
        host_.post(id, [handle, finished](node::NodeCore& core, Instant now) {
          core.onDispatchEvent(handle, finished, now);
        });
      });
}

void Fleet::answerHold(const SimNode& node, const engine::HoldResult& result) {
  context_.events.scheduleAfter(milliseconds(2), [this, id = node.id, result] {
    host_.post(id, [result](node::NodeCore& core, Instant now) { core.onHoldResult(result, now); });
  });
}

void Fleet::complete(const engine::AnswerCompleted& completed) {
  const auto found = waiting_.find(completed.handle);
  if (found == waiting_.end()) {
    return;
  }
  completed_ += measuring_ ? 1 : 0;
  HollowProgram& program = *found->second.program;
  program.busy = false;
  if (!found->second.application) {
    program.messages += R"(,{"role":"assistant","content":")" + completed.answer + "\"}";
  }
  waiting_.erase(found);
}

FleetResult Fleet::run() {
  host_.startAll();
  publishBundle();
  for (const SimNode& node : host_.nodes()) {
    machines_.note(node.id, node.incarnation, membership::MemberState::Alive);
    const auto phase = [this](Duration period) {
      return Duration(static_cast<Duration::rep>(
          context_.random.below(static_cast<std::uint64_t>(period.count()))));
    };
    context_.events.scheduleAfter(phase(kReportPeriod), [this, id = node.id] { reportLoads(id); });
    context_.events.scheduleAfter(phase(kListPeriod), [this, id = node.id] { tellMachines(id); });
    planCall(node.id);
  }
  // Until every node has its programs, and membership and bundles have settled.
  const double warmUp = 15.0 + options_.programsPerNode / options_.requestsPerSecondPerNode;
  context_.events.runUntil(Instant(milliseconds(static_cast<std::int64_t>(warmUp * 1000.0))));
  measuring_ = true;
  context_.events.runUntil(context_.now() + options_.measured);
  measuring_ = false;
  return collect(toMilliseconds(options_.measured) / 1000.0);
}

FleetResult Fleet::collect(double seconds) {
  constexpr double kKilobyte = 1000.0;
  std::map<std::string, std::vector<double>> values;
  for (const NodeUsage& usage : usage_) {
    const auto share = [seconds](std::uint64_t nanoseconds) {
      return static_cast<double>(nanoseconds) / 1e9 / seconds * 100.0;
    };
    values["control_cpu_percent"].push_back(share(usage.coreNanoseconds));
    values["codec_cpu_percent"].push_back(share(usage.codecNanoseconds));
    values["text_kb_per_s"].push_back(static_cast<double>(usage.textBytes) / kKilobyte / seconds);
    double control = 0;
    double frames = 0;
    for (std::size_t place = 0; place < wire::kSubsystemCount; ++place) {
      const std::string name = wire::subsystemName(static_cast<wire::Subsystem>(place));
      const double rate = static_cast<double>(usage.controlBytes[place]) / kKilobyte / seconds;
      values["control_" + name + "_kb_per_s"].push_back(rate);
      control += rate;
      frames += static_cast<double>(usage.frames[place]) / seconds;
    }
    values["control_kb_per_s"].push_back(control);
    values["frames_per_s"].push_back(frames);
  }
  // What a core holds is what its end gives back.
  for (SimNode& node : host_.nodes()) {
    const std::size_t before = heapBytes();
    node.core.reset();
    values["control_memory_mb"].push_back(static_cast<double>(before - heapBytes()) / 1e6);
  }
  FleetResult result;
  result.nodes = options_.nodes;
  result.callsPerSecondPerNode = static_cast<double>(completed_) / seconds / options_.nodes;
  const double all = static_cast<double>(completed_ + refused_);
  result.refusedPerMille = all > 0 ? 1000.0 * static_cast<double>(refused_) / all : 0;
  for (auto& [name, numbers] : values) {
    result.figures[name] = spreadOf(std::move(numbers));
  }
  return result;
}

}  // namespace

std::uint32_t fleetZones(std::uint32_t nodes) {
  constexpr std::uint32_t kNodesPerZone = 10;
  constexpr std::uint32_t kMostZones = 10;
  constexpr std::uint32_t kFewestZones = 2;
  std::uint32_t zones = std::clamp(nodes / kNodesPerZone, kFewestZones, kMostZones);
  while (zones > 1 && nodes % zones != 0) {
    --zones;
  }
  return zones;
}

FleetResult runFleet(const FleetOptions& options) { return Fleet(options).run(); }

}  // namespace gorsetrail::sim
