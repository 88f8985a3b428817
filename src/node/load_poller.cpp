#include "node/load_poller.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "node/front/json_text.h"

namespace gorsetrail::node {
namespace {

using Json = nlohmann::json;

constexpr unsigned kStatusOk = 200;
constexpr Duration kTimeLimit = milliseconds(900);
constexpr std::size_t kMaximumDepth = 8;

BackendReport unreachable(const std::string& backendName) {
  BackendReport report;
  report.backendName = backendName;
  report.reachable = false;
  return report;
}

/// \return the number at `key`; 0 when there is none that fits.
std::uint32_t numberAt(const Json& document, const char* key) {
  const auto found = document.find(key);
  if (found == document.end() || !found->is_number_unsigned()) {
    return 0;
  }
  const auto value = found->get<std::uint64_t>();
  constexpr std::uint64_t kHighest = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(value, kHighest));
}

}  // namespace

BackendReport parseLoadReport(const std::string& backendName, const std::string& body) {
  if (nestsDeeperThan(body, kMaximumDepth)) {
    return unreachable(backendName);
  }
  const Json document = Json::parse(body, nullptr, false);
  if (!document.is_object()) {
    return unreachable(backendName);
  }
  BackendReport report;
  report.backendName = backendName;
  const auto leaving = document.find("leaving");
  report.leaving = leaving != document.end() && leaving->is_boolean() && leaving->get<bool>();
  report.runningStreams = numberAt(document, "running");
  report.queuedRequests = numberAt(document, "queued");
  report.cacheUsedPerMille = numberAt(document, "cache_used_per_mille");
  return report;
}

LoadPoller::LoadPoller(http::HttpClient& client, OnReport onReport)
    : client_(client), onReport_(std::move(onReport)) {}

LoadPoller::~LoadPoller() {
  for (const auto& [name, request] : underWay_) {
    request->cancel();
  }
}

void LoadPoller::poll(const std::vector<bundle::Backend>& backends) {
  for (const bundle::Backend& backend : backends) {
    if (backend.kind == bundle::BackendKind::Engine && !underWay_.contains(backend.name)) {
      ask(backend);
    }
  }
}

void LoadPoller::ask(const bundle::Backend& backend) {
  http::Request request;
  request.address = backend.address;
  request.target = "/v1/load";
  request.timeLimit = kTimeLimit;
  http::ResponseHandler handler;
  handler.onDone = [this, name = backend.name](const http::Response& response) {
    report(response.status == kStatusOk ? parseLoadReport(name, response.body) : unreachable(name));
  };
  handler.onFailure = [this, name = backend.name](const http::Failure&) {
    report(unreachable(name));
  };
  underWay_[backend.name] = client_.send(std::move(request), std::move(handler));
}

void LoadPoller::report(const BackendReport& report) {
  underWay_.erase(report.backendName);
  onReport_(report);
}

}  // namespace gorsetrail::node
