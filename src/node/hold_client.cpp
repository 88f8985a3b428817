#include "node/hold_client.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "node/front/json_text.h"

namespace gorsetrail::node {
namespace {

using Json = nlohmann::json;
using engine::HoldOutcome;

constexpr Duration kTimeLimit = milliseconds(1500);
constexpr std::size_t kMaximumDepth = 8;
constexpr std::string_view kHoldsPath = "/v1/holds";
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusConflict = 409;
constexpr unsigned kStatusInsufficientStorage = 507;

std::string targetOf(const ProgramId& program, Epoch epoch) {
  return std::string(kHoldsPath) + "/" + engine::holdNameOf(program, epoch);
}

http::Request makeRequest(const engine::PlaceHold& command) {
  const auto deadline = std::chrono::duration_cast<milliseconds>(command.deadline).count();
  const Json body = {{"prefix", scheduling::prefixHashToHex(command.prefix)},
                     {"program", command.program.toHex()},
                     {"epoch", command.epoch.value()},
                     {"deadline_ms", static_cast<std::uint64_t>(deadline)}};
  http::Request request;
  request.method = "PUT";
  request.address = command.address;
  request.target = targetOf(command.program, command.epoch);
  request.headers = {{"Content-Type", "application/json"}};
  request.body = body.dump();
  return request;
}

http::Request makeRequest(const engine::ReleaseHold& command) {
  http::Request request;
  request.method = "DELETE";
  request.address = command.address;
  request.target = targetOf(command.program, command.epoch);
  return request;
}

http::Request makeRequest(const engine::ReadHolds& command) {
  http::Request request;
  request.address = command.address;
  request.target = kHoldsPath;
  return request;
}

HoldOutcome placingOutcome(unsigned status) {
  switch (status) {
    case kStatusOk:
      return HoldOutcome::Done;
    case kStatusNotFound:
      return HoldOutcome::NotCached;
    case kStatusConflict:
      return HoldOutcome::StaleEpoch;
    case kStatusInsufficientStorage:
      return HoldOutcome::LimitExceeded;
    default:
      return HoldOutcome::Failed;
  }
}

HoldOutcome releaseOutcome(unsigned status) {
  return status == kStatusOk || status == kStatusNotFound ? HoldOutcome::Done : HoldOutcome::Failed;
}

/// \return one entry of the engine's list; nothing when it is malformed.
std::optional<engine::ListedHold> parseListed(const Json& entry) {
  const auto isText = [&entry](const char* key) {
    return entry.contains(key) && entry[key].is_string();
  };
  if (!entry.is_object() || !isText("name") || !isText("program") || !entry.contains("epoch") ||
      !entry["epoch"].is_number_unsigned()) {
    return std::nullopt;
  }
  return engine::ListedHold{entry["name"].get<std::string>(), entry["program"].get<std::string>(),
                            Epoch(entry["epoch"].get<std::uint64_t>())};
}

/// \return the list; nothing when the body has none. A part of a list would look like lost holds.
std::optional<std::vector<engine::ListedHold>> parseList(const std::string& body) {
  if (nestsDeeperThan(body, kMaximumDepth)) {
    return std::nullopt;
  }
  const Json document = Json::parse(body, nullptr, false);
  if (!document.is_object() || !document.contains("holds") || !document["holds"].is_array() ||
      document["holds"].size() > HoldClient::kMaximumListed) {
    return std::nullopt;
  }
  std::vector<engine::ListedHold> holds;
  for (const Json& entry : document["holds"]) {
    std::optional<engine::ListedHold> listed = parseListed(entry);
    if (!listed) {
      return std::nullopt;
    }
    holds.push_back(*std::move(listed));
  }
  return holds;
}

}  // namespace

HoldClient::HoldClient(http::HttpClient& client, OnResult onResult, OnInventory onInventory)
    : client_(client), onResult_(std::move(onResult)), onInventory_(std::move(onInventory)) {}

HoldClient::~HoldClient() {
  for (const auto& [name, lane] : lanes_) {
    lane->abandoned = true;
    if (lane->underWay) {
      lane->underWay->cancel();
      lane->underWay.reset();  // The request's handler keeps the lane.
    }
  }
}

void HoldClient::place(const engine::PlaceHold& command) { enqueue(command.backendName, command); }

void HoldClient::release(const engine::ReleaseHold& command) {
  enqueue(command.backendName, command);
}

void HoldClient::read(const engine::ReadHolds& command) { enqueue(command.backendName, command); }

void HoldClient::enqueue(const std::string& backendName, engine::HoldCommand command) {
  LanePtr& slot = lanes_[backendName];
  if (!slot) {
    slot = std::make_shared<Lane>();
    slot->backendName = backendName;
  }
  const LanePtr lane = slot;
  if (lane->waiting.size() >= kMaximumQueuedPerEngine || queued_ >= kMaximumQueued) {
    ++counters_.dropped;
    report(command, nullptr);
    return;
  }
  lane->waiting.push_back(std::move(command));
  ++queued_;
  sendNext(lane);
}

void HoldClient::sendNext(const LanePtr& lane) {
  if (lane->busy) {
    return;
  }
  if (lane->waiting.empty()) {
    lanes_.erase(lane->backendName);  // Engines come and go; only busy ones are kept.
    return;
  }
  const engine::HoldCommand command = std::move(lane->waiting.front());
  lane->waiting.pop_front();
  --queued_;
  lane->busy = true;
  ++counters_.orders;
  http::Request request =
      std::visit([](const auto& alternative) { return makeRequest(alternative); }, command);
  request.timeLimit = kTimeLimit;
  http::ResponseHandler handler;
  handler.onDone = [this, lane, command](const http::Response& response) {
    onAnswer(lane, command, &response);
  };
  handler.onFailure = [this, lane, command](const http::Failure&) {
    onAnswer(lane, command, nullptr);
  };
  const http::RequestHandlePtr underWay = client_.send(std::move(request), std::move(handler));
  // A handler may have run within `send`.
  if (lane->busy) {
    lane->underWay = underWay;
  }
}

void HoldClient::onAnswer(const LanePtr& lane, const engine::HoldCommand& command,
                          const http::Response* response) {
  if (lane->abandoned || !lane->busy) {
    return;
  }
  lane->busy = false;
  lane->underWay.reset();
  // Sent before the report: what the report orders then waits behind what was ordered earlier.
  sendNext(lane);
  report(command, response);
}

void HoldClient::report(const engine::HoldCommand& command, const http::Response* response) {
  if (const auto* const place = std::get_if<engine::PlaceHold>(&command)) {
    reportResult(place->order, place->backendName,
                 response ? placingOutcome(response->status) : HoldOutcome::Failed);
  } else if (const auto* const release = std::get_if<engine::ReleaseHold>(&command)) {
    reportResult(release->order, release->backendName,
                 response ? releaseOutcome(response->status) : HoldOutcome::Failed);
  } else {
    reportInventory(std::get<engine::ReadHolds>(command).backendName, response);
  }
}

void HoldClient::reportResult(engine::HoldOrder order, const std::string& backendName,
                              HoldOutcome outcome) {
  counters_.failed += outcome == HoldOutcome::Failed ? 1 : 0;
  onResult_({order, backendName, outcome});
}

void HoldClient::reportInventory(const std::string& backendName, const http::Response* response) {
  auto holds = response && response->status == kStatusOk ? parseList(response->body) : std::nullopt;
  if (!holds) {
    ++counters_.readingsFailed;
    return;
  }
  onInventory_({backendName, *std::move(holds)});
}

}  // namespace gorsetrail::node
