#include "node/daemon.h"

#include <chrono>
#include <utility>

#include "base/log.h"
#include "base/steady_clock.h"
#include "node/front/error_response.h"

namespace gorsetrail::node {
namespace {

constexpr Duration kTickPeriod = milliseconds(10);
constexpr std::uint32_t kTicksPerSecond = 100;
constexpr Duration kMachineListPeriod = seconds(2);
/// A planned stop waits this long for calls that were accepted and not yet dispatched, so that
/// they need not be refused; then the core refuses them as not run.
constexpr Duration kUndispatchedGrace = seconds(10);
/// After the last command the peers' links get this long to write what is queued.
constexpr Duration kFinalLinger = milliseconds(100);
constexpr const char* kBundleStream = "bundle";

std::int64_t wallSeconds() {
  const auto since1970 = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<seconds>(since1970).count();
}

membership::MemberState stateOf(services::MachineState state) {
  switch (state) {
    case services::MachineState::Live:
      return membership::MemberState::Alive;
    case services::MachineState::Leaving:
      return membership::MemberState::Leaving;
    case services::MachineState::Terminated:
      break;
  }
  return membership::MemberState::Terminated;
}

FrontOptions frontOptionsOf(const Settings& settings) {
  FrontOptions options;
  options.self = settings.self;
  options.incarnation = settings.incarnation;
  options.site = settings.site;
  options.defaults = {settings.zone, settings.defaultTimeLimit};
  options.maximumStreamBufferBytes = settings.maximumStreamBufferBytes;
  return options;
}

services::Pace machineListPace() {
  services::Pace pace;
  pace.period = kMachineListPeriod;
  return pace;
}

}  // namespace

NodeOptions nodeOptionsOf(const Settings& settings) {
  NodeOptions options;
  options.self = settings.self;
  options.incarnation = settings.incarnation;
  options.zone = settings.zone;
  options.site = settings.site;
  options.members = settings.members;
  options.trustAnchors = settings.trust;
  options.policy = settings.policy;
  options.seed = settings.seed;
  return options;
}

Daemon::Daemon(boost::asio::io_context& context, Settings settings, NodeCorePtr core)
    : context_(context),
      settings_(std::move(settings)),
      core_(std::move(core)),
      client_(http::makeHttpClient(context)),
      timers_(services::makeTimerService(context)),
      dispatcher_(*client_,
                  [this](CallHandle handle, const engine::DispatchEvent& event) {
                    core_->onDispatchEvent(handle, event, steadyNow());
                    carryOutCommands();
                  }),
      loads_(*client_,
             [this](const BackendReport& report) {
               core_->onBackendReport(report, steadyNow());
               carryOutCommands();
             }),
      holds_(
          *client_,
          [this](const engine::HoldResult& result) {
            core_->onHoldResult(result, steadyNow());
            carryOutCommands();
          },
          [this](const engine::HoldInventory& inventory) {
            core_->onHoldInventory(inventory, steadyNow());
            carryOutCommands();
          }),
      log_(*client_, settings_.platformLog),
      bundles_(log_, *timers_, kBundleStream, LogOffset(0), services::Pace{}, settings_.seed,
               [this](const services::LogRecord& record) { onBundleRecord(record); }),
      machines_(*client_, settings_.platformMachines),
      machinePoller_(machines_, *timers_, machineListPace(), settings_.seed,
                     [this](const auto& machines) { onMachines(machines); }),
      front_(frontOptionsOf(settings_), *core_,
             {steadyNow, wallSeconds, [this] { carryOutCommands(); },
              [this] {
                return metrics_.render({core_->counters(), peers_->counters(),
                                        dispatcher_.counters(), server_->counters()});
              },
              logEvent, [this](double span) { metrics_.observeCallSeconds(span); },
              [this](double span) { metrics_.observeDispatchSeconds(span); }}) {}

Daemon::~Daemon() {
  if (server_) {
    server_->stop();
  }
  if (peers_) {
    peers_->stop();
  }
}

Result<Success> Daemon::start() {
  if (auto opened = openPeers(); !succeeded(opened)) {
    return opened;
  }
  if (auto opened = openCallers(); !succeeded(opened)) {
    return opened;
  }
  startLoops();
  logEvent(LogLevel::Info, "node_started",
           {{"node", settings_.self.value()},
            {"site", settings_.site},
            {"zone", settings_.zone},
            {"incarnation", settings_.incarnation.value()},
            {"callers", settings_.listenCallers},
            {"peers", settings_.listenPeers},
            {"members", settings_.members.size()},
            {"policy", settings_.policy}});
  return Success{};
}

Result<Success> Daemon::openPeers() {
  PeerTransportOptions options;
  options.self = settings_.self;
  options.incarnation = settings_.incarnation;
  options.listenAddress = settings_.listenPeers;
  options.members = settings_.members;
  options.seed = settings_.seed;
  auto peers = makePeerTransport(context_, std::move(options),
                                 [this](NodeId from, const wire::PeerMessage& message) {
                                   core_->onPeerMessage(from, message, steadyNow());
                                   carryOutCommands();
                                 });
  if (!succeeded(peers)) {
    return errorOf(peers);
  }
  peers_ = std::move(valueOf(peers));
  return Success{};
}

Result<Success> Daemon::openCallers() {
  http::HttpServerOptions options;
  options.listenAddress = settings_.listenCallers;
  options.knobs.maximumBodyBytes = settings_.maximumBodyBytes;
  options.knobs.maximumConnections = settings_.maximumConnections;
  options.onFault = faultResponse;
  options.onRequest = [this](http::ServerRequest request, http::ResponseWriterPtr writer) {
    front_.onRequest(std::move(request), std::move(writer));
  };
  auto server = http::makeHttpServer(context_, std::move(options));
  if (!succeeded(server)) {
    return errorOf(server);
  }
  server_ = std::move(valueOf(server));
  return Success{};
}

void Daemon::startLoops() {
  bundles_.start();
  machinePoller_.start();
  tick();
}

void Daemon::tick() {
  if (stopped_) {
    return;
  }
  core_->onTick(steadyNow());
  carryOutCommands();
  if (ticks_++ % kTicksPerSecond == 0) {
    everySecond();
  }
  if (stopping_) {
    advanceStop();
  }
  if (!stopped_) {
    timers_->runAfter(kTickPeriod, [this] { tick(); });
  }
}

void Daemon::everySecond() {
  loads_.poll(core_->observedBackends());
  logBundleChange();
}

void Daemon::logBundleChange() {
  const NodeCounters counters = core_->counters();
  if (counters.bundleVersion != bundleVersion_) {
    logEvent(LogLevel::Info, "bundle_in_force",
             {{"version", counters.bundleVersion}, {"before", bundleVersion_}});
    bundleVersion_ = counters.bundleVersion;
  }
  if (counters.bundlesRefused != bundlesRefused_) {
    logEvent(LogLevel::Warning, "bundle_refused",
             {{"count", counters.bundlesRefused - bundlesRefused_}});
    bundlesRefused_ = counters.bundlesRefused;
  }
}

void Daemon::onMachines(const std::vector<services::Machine>& machines) {
  std::vector<membership::MachineListEntry> lines;
  lines.reserve(machines.size());
  for (const services::Machine& machine : machines) {
    lines.push_back({machine.node, machine.incarnation, stateOf(machine.state)});
  }
  core_->onMachineList(lines, steadyNow());
  carryOutCommands();
}

void Daemon::onBundleRecord(const services::LogRecord& record) {
  core_->onBundleEnvelope(record.data, steadyNow());
  carryOutCommands();
}

// A command may cause the next event at once (a dispatch to an unusable address fails inside
// `start`): its commands are then taken by the loop that is already running.
void Daemon::carryOutCommands() {
  if (carryingOut_) {
    return;
  }
  carryingOut_ = true;
  std::vector<NodeCommand> commands = core_->takeCommands();
  while (!commands.empty()) {
    for (NodeCommand& command : commands) {
      std::visit([this](auto& alternative) { perform(alternative); }, command);
    }
    commands = core_->takeCommands();
  }
  carryingOut_ = false;
}

void Daemon::perform(SendPeerMessage& command) { peers_->send(command.to, command.message); }

void Daemon::perform(AppendLogRecord& command) {
  log_.append(command.stream, std::move(command.record),
              [this, sequence = command.sequence](const Result<LogOffset>& result) {
                core_->onLogAppended(sequence, succeeded(result), steadyNow());
                carryOutCommands();
              });
}

void Daemon::perform(CloseCompleted& command) { front_.onClosed(command); }

void Daemon::perform(engine::StartDispatch& command) {
  front_.onDispatchStarted(command);
  dispatcher_.start(command);
}

void Daemon::perform(engine::CancelDispatch& command) { dispatcher_.cancel(command); }

void Daemon::perform(engine::AnswerChunk& command) { front_.onChunk(command); }

void Daemon::perform(engine::AnswerCompleted& command) { front_.onCompleted(command); }

void Daemon::perform(engine::AnswerRefused& command) { front_.onRefused(command); }

void Daemon::beginStop(OnStopped onStopped) {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  stopBegan_ = steadyNow();
  onStopped_ = std::move(onStopped);
  logEvent(LogLevel::Info, "stop_began",
           {{"calls_under_way", front_.underWay()},
            {"limit_ms", static_cast<std::uint64_t>(toMilliseconds(settings_.stopLimit))}});
  front_.beginStop();
  // Idle connections close, so that callers go to another node; who connects anew is told why.
  server_->beginDrain();
}

void Daemon::advanceStop() {
  const Instant now = steadyNow();
  const Duration sinceBegin = now - stopBegan_;
  if (!coreStopping_ && (!front_.hasUndispatchedCall() || sinceBegin > kUndispatchedGrace)) {
    beginCoreStop();
  }
  if (!drained_ && isDrained()) {
    drained_ = true;
    drainedAt_ = now;
  }
  if (drained_ && now - drainedAt_ >= kFinalLinger) {
    finishStop(StopVerdict::Whole);
  } else if (sinceBegin > settings_.stopLimit) {
    finishStop(StopVerdict::CutOff);
  }
}

void Daemon::beginCoreStop() {
  coreStopping_ = true;
  core_->beginStop(steadyNow());
  carryOutCommands();
}

bool Daemon::isDrained() const {
  return coreStopping_ && core_->isDrained() && front_.underWay() == 0 &&
         server_->counters().responsesOpen == 0;
}

void Daemon::finishStop(StopVerdict verdict) {
  stopped_ = true;
  const bool whole = verdict == StopVerdict::Whole;
  logEvent(whole ? LogLevel::Info : LogLevel::Error, "stop_ended",
           {{"whole", whole ? "true" : "false"},
            {"calls_cut_off", front_.underWay()},
            {"duration_us", static_cast<std::uint64_t>((steadyNow() - stopBegan_).count())}});
  bundles_.stop();
  machinePoller_.stop();
  server_->stop();
  peers_->stop();
  if (onStopped_) {
    onStopped_(verdict);
  }
}

}  // namespace gorsetrail::node
