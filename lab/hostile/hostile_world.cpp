#include "lab/hostile/hostile_world.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/steady_clock.h"

namespace gorsetrail::lab {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
constexpr std::size_t kReplicas = 2;
constexpr Duration kStep = milliseconds(20);
/// Far above the time that any step takes, so that a hang ends as a failure.
constexpr Duration kPatience = seconds(30);
constexpr Duration kQuiet = seconds(1);

nlohmann::json route(const std::string& name, const std::string& type, bool persisted) {
  return {{"name", name},
          {"host", "h"},
          {"pathPrefix", "/" + name + "/"},
          {"routeType", type},
          {"service", HostileWorld::kService},
          {"timeoutMs", 20000},
          {"maxAttempts", 2},
          {"persisted", persisted}};
}

}  // namespace

HostileWorld::HostileWorld(NodeProcessSettings settings, const std::string& directory)
    : settings_(std::move(settings)),
      directory_(directory),
      store_(context_),
      client_(http::makeHttpClient(context_)) {
  std::filesystem::create_directories(directory_);
  settings_.storeAddress = store_.address();
  publish({});
  for (std::size_t number = 0; number < kReplicas; ++number) {
    const std::string id = "i-" + std::to_string(number);
    replicas_.push_back(std::make_unique<HoldingReplica>(context_, id));
    store_.put("keyed.servers", id, replicas_.back()->registration(kService));
  }
  restart();
}

HostileWorld::~HostileWorld() {
  client_.reset();
  node_.reset();
  replicas_.clear();
}

void HostileWorld::restart() {
  node_.reset();
  node_ = std::make_unique<NodeProcess>(settings_, directory_);
  runUntil([this] { return send(ordinaryRequest("/safe/start", 1)).status == kOk; });
}

void HostileWorld::publish(const WorldLimits& limits) {
  const nlohmann::json configuration = {
      {"version", ++version_},
      {"routes",
       {route("kept", "streaming", true), route("unsafe", "unsafe", false),
        route("safe", "safe", false)}},
      {"services", {{{"name", kService}}}},
      {"limits",
       {{"maxHeaderBytes", limits.maximumHeadBytes},
        {"maxBodyBytes", limits.maximumBodyBytes},
        {"headerTimeoutMs", limits.headTimeoutMs},
        {"idleTimeoutMs", limits.idleTimeoutMs}}}};
  store_.put("keyed.op", "config", configuration.dump());
}

void HostileWorld::registerReplica(const std::string& id, const std::string& registration) {
  store_.put("keyed.servers", id, registration);
}

void HostileWorld::observe() {
  peakUnreadBytes_ = std::max(peakUnreadBytes_, unreadBytesAt({settings_.ip})[settings_.ip]);
  peakDescriptors_ = std::max(peakDescriptors_, openDescriptorsOf(node_->id()));
}

bool HostileWorld::runUntil(const std::function<bool()>& isTrue) {
  const Instant end = steadyNow() + kPatience;
  while (steadyNow() < end) {
    if (isTrue()) {
      return true;
    }
    context_.restart();
    context_.run_for(kStep);
    observe();
  }
  return false;
}

void HostileWorld::playUntilQuiet(const HostileCrowd& crowd) {
  std::uint64_t moved = 0;
  Instant quietSince = steadyNow();
  runUntil([&] {
    const CrowdCounts& counts = crowd.counts();
    const std::uint64_t now = counts.bytesSent + counts.connected + counts.cutOff;
    if (std::exchange(moved, now) != now) {
      quietSince = steadyNow();
    }
    return steadyNow() - quietSince > kQuiet || !node_->isRunning();
  });
}

http::Request HostileWorld::ordinaryRequest(const std::string& path, std::size_t bodyBytes) {
  http::Request request;
  request.method = "POST";
  request.address = settings_.clientAddress();
  request.target = path;
  request.headers = {{"Host", "h"},
                     {"Gorsetrail-Request-Id", "sound-" + std::to_string(++nextRequest_)},
                     {"Gorsetrail-Deadline-Ms", "8000"},
                     // The next request needs a connection of its own.
                     {"Connection", "close"}};
  request.body = std::string(bodyBytes, 'b');
  request.timeLimit = seconds(10);
  return request;
}

SoundAnswer HostileWorld::send(http::Request request) {
  const auto answer = std::make_shared<SoundAnswer>();
  const auto ended = std::make_shared<bool>(false);
  http::ResponseHandler handler;
  handler.onDone = [answer, ended](const http::Response& response) {
    *answer = {response.status, response.headers, response.body};
    *ended = true;
  };
  handler.onFailure = [ended](const http::Failure&) { *ended = true; };
  client_->send(std::move(request), std::move(handler));
  runUntil([ended] { return *ended; });
  return *answer;
}

SoundAnswer HostileWorld::askOrdinarily(const std::string& path, std::size_t bodyBytes) {
  constexpr int kTries = 20;
  SoundAnswer answer;
  for (int attempt = 0; attempt < kTries && node_->isRunning(); ++attempt) {
    answer = send(ordinaryRequest(path, bodyBytes));
    if (answer.status != kUnavailable && answer.status != 0) {
      break;
    }
    const Instant until = steadyNow() + milliseconds(200);
    runUntil([until] { return steadyNow() > until; });
  }
  return answer;
}

int HostileWorld::runsOf(const std::string& requestId) const {
  int runs = 0;
  for (const auto& replica : replicas_) {
    const auto found = replica->requests.find(requestId);
    runs += found == replica->requests.end() ? 0 : found->second.runs;
  }
  return runs;
}

}  // namespace gorsetrail::lab
