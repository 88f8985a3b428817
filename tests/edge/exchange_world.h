/// \file Test fixture of `Exchange` with fake replicas, clients, store and clock.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/fake_http_client.h"
#include "edge/exchange.h"
#include "edge/run_history_sharing.h"
#include "ledger/program_ledger.h"
#include "logstore/fake_log_store.h"
#include "logstore/retrying_store.h"
#include "quota/quota_admission.h"
#include "routing/sign_of_life_rule.h"
#include "routing/software_version_rule.h"

namespace gorsetrail::edge::testing {

/// Minimal wire format with short header names.
class FakeWire final : public WireAdapter {
 public:
  std::string requestIdOf(const http::ServerRequest& /*request*/) const override { return {}; }
  CallRequest readRequest(http::ServerRequest /*request*/) const override { return {}; }
  http::Request makeReplicaRequest(const CallRequest& request,
                                   const Dispatch& dispatch) const override {
    http::Request sent;
    sent.address = dispatch.address;
    sent.target = request.target;
    sent.body = request.body;
    sent.headers = {{"left", std::to_string(dispatch.timeLeft.count() / 1000)},
                    {"expect", dispatch.replicaId},
                    {"after", dispatch.lastEventId},
                    {"tenant", dispatch.tenant},
                    {"priority", std::to_string(dispatch.priority)}};
    return sent;
  }
  ReplicaHead readReplicaHead(unsigned status,
                              const std::vector<http::Header>& headers) const override {
    ReplicaHead head;
    head.status = status;
    for (const http::Header& header : headers) {
      head.requestId = header.name == "id" ? header.value : head.requestId;
      head.notExecuted = head.notExecuted || header.name == "not-run";
      head.eventStream = head.eventStream || header.name == "events";
    }
    return head;
  }
  std::vector<http::Header> clientHeaders(const std::vector<http::Header>& headers) const override {
    return headers;
  }
  http::WholeResponse makeRefusal(const CallRequest& /*request*/,
                                  const Refusal& refusal) const override {
    http::WholeResponse response{refusal.status, {}, refusal.reason};
    if (refusal.retryAfter > Duration::zero()) {
      response.headers.push_back({"retry", std::to_string(refusal.retryAfter.count())});
    }
    return response;
  }
  std::optional<DirectoryQuery> readDirectoryQuery(
      const http::ServerRequest& /*request*/) const override {
    return std::nullopt;
  }
  http::WholeResponse makeDirectoryAnswer(const std::vector<std::string>& /*addresses*/,
                                          double /*ttlSeconds*/) const override {
    return {};
  }
};

/// Returns the decision set by the test, at once or when the test calls `waiting`.
class FakeQuota final : public quota::QuotaAdmission {
 public:
  void admit(const tenant::Tenant& tenant, quota::ProgramStage stage, Callback callback) override {
    asked.push_back({tenant.name, stage});
    if (isDeferred) {
      waiting.push_back(std::move(callback));
    } else {
      callback(decision);
    }
  }
  void returnToken(const std::string& tenant) override { givenBack.push_back(tenant); }

  quota::QuotaDecision decision;
  bool isDeferred = false;
  std::vector<Callback> waiting;
  std::vector<std::pair<std::string, quota::ProgramStage>> asked;
  std::vector<std::string> givenBack;
};

/// Knows what the test or an exchange has recorded; answers at once.
class FakeStreamOrigins final : public StreamOriginDirectory {
 public:
  void record(const routing::RequestKey& stream, const routing::StreamOrigin& origin,
              Duration /*keepFor*/) override {
    onRecord();
    known[stream.low] = origin;
    recorded.push_back(origin);
  }
  void find(const routing::RequestKey& stream, Callback callback) override {
    const auto found = known.find(stream.low);
    callback({found == known.end() ? routing::UnknownOrigin{} : found->second, {}, 0, 0});
  }

  std::map<std::uint64_t, routing::OriginState> known;
  std::vector<routing::StreamOrigin> recorded;
  std::function<void()> onRecord = [] {};
};

/// Response as received by the client.
struct ClientView {
  unsigned status = 0;  ///< 0: no response yet.
  std::string body;
  std::string retryAfter;
  std::vector<http::Header> streamHeaders;  ///< Headers that the stream began with.
  bool whole = false;                       ///< The response is complete.
  bool closed = false;  ///< The connection was closed before the response was complete.
  http::ResponseObserver observer;
};

class FakeWriter final : public http::ResponseWriter {
 public:
  explicit FakeWriter(std::shared_ptr<ClientView> view) : view_(std::move(view)) {}
  ~FakeWriter() override { view_->closed = !view_->whole; }
  FakeWriter(const FakeWriter&) = delete;
  FakeWriter& operator=(const FakeWriter&) = delete;

  void observe(http::ResponseObserver observer) override { view_->observer = std::move(observer); }
  void sendWhole(http::WholeResponse response) override {
    view_->status = response.status;
    view_->body = response.body;
    for (const http::Header& header : response.headers) {
      view_->retryAfter = header.name == "retry" ? header.value : view_->retryAfter;
    }
    view_->whole = true;
  }
  void beginStream(unsigned status, const std::vector<http::Header>& headers) override {
    view_->status = status;
    view_->streamHeaders = headers;
  }
  void write(std::string_view bytes) override { view_->body += bytes; }
  void endStream() override { view_->whole = true; }
  [[nodiscard]] std::size_t bytesWaiting() const override { return 0; }

 private:
  std::shared_ptr<ClientView> view_;
};

/// One node with three replicas `r1` to `r3` of a model service and the routes
/// /safe/ (two attempts), /unsafe/, /kept/ (persisted stream), /again/ (resumable stream).
struct ExchangeWorld {
  ExchangeWorld() {
    for (const char* id : {"r1", "r2", "r3"}) {
      routing::ReplicaEntry entry;
      entry.id = id;
      entry.service = "model";
      entry.address = std::string("10.0.0.1:") + id;
      entry.slots = 4;
      replicas.upsert(entry);
    }
    auto configuration = std::make_shared<routing::Configuration>();
    configuration->version = routing::ConfigurationVersion(1);
    configuration->routes = {route("safe", routing::RouteKind::Safe, 2),
                             route("unsafe", routing::RouteKind::Unsafe, 1),
                             route("kept", routing::RouteKind::Streaming, 1),
                             route("again", routing::RouteKind::Streaming, 1)};
    configuration->routes[2].persisted = true;
    configuration->routes[3].resumable = true;
    routing::Service service;
    service.name = "model";
    service.healthPath = "/health";
    service.engine = routing::EngineProfile{4, 9, 5000};
    configuration->services.emplace("model", service);
    routes.apply(configuration);
    context.storeReadTimes.configurationReadAt = timers.now;
    context.streamOrigins = &origins;
    context.runHistories = &runHistories;
    context.survivalProofs = &survivalProofs;
  }

  /// Clears the observers, which otherwise keep unfinished exchanges alive.
  ~ExchangeWorld() {
    for (const auto& view : views) {
      view->observer = {};
    }
  }
  ExchangeWorld(const ExchangeWorld&) = delete;
  ExchangeWorld& operator=(const ExchangeWorld&) = delete;

  /// \return the fixture's context with another ledger.
  EdgeContext contextWith(ledger::Ledger& otherLedger) {
    return {wire,          routes,   placement, otherLedger, quota, client, timers,
            context.clock, eventLog, metrics,   {},          {},    {},     std::nullopt};
  }

  static routing::Route route(const std::string& name, routing::RouteKind kind,
                              std::uint32_t attempts) {
    routing::Route made;
    made.name = name;
    made.host = "h";
    made.pathPrefix = "/" + name + "/";
    made.kind = kind;
    made.maximumAttempts = attempts;
    made.priority = 1;
    made.services = {{"model", 1.0}};
    return made;
  }

  static CallRequest request(const std::string& route) {
    CallRequest call;
    call.method = "POST";
    call.host = "h";
    call.target = "/" + route + "/x";
    call.body = "input";
    call.requestId = "q1";
    call.deadline = milliseconds(4000);
    return call;
  }
  static CallRequest turn(const std::string& route) {
    CallRequest call = request(route);
    call.programId = "program";
    call.sessionId = "session";
    call.tokenBudget = 1000;
    call.maximumTokens = 288;
    return call;
  }

  std::shared_ptr<ClientView> start(CallRequest call) {
    auto view = std::make_shared<ClientView>();
    views.push_back(view);
    std::make_shared<Exchange>(context, std::move(call), std::make_unique<FakeWriter>(view))
        ->start();
    return view;
  }
  /// Makes it known which software began the stream of a request.
  void knowOrigin(const std::string& requestId, const std::string& version,
                  const std::string& service = "model") {
    origins.known[routing::streamIdOf(requestId).low] = routing::StreamOrigin{service, version};
  }
  node::testing::FakeHttpClient::Exchange& call() { return client.last(); }
  std::size_t dispatches() const { return client.exchanges.size(); }
  void beginEvents() { call().head(200, {{"events", ""}}); }
  /// Completes the last reachability check: the witness's connection and the replica's.
  void answerReachabilityCheck(bool replicaReachable, bool witnessReachable = true) {
    const std::size_t first = client.checks.size() - kConnectionsPerCheck;
    client.checks[first].second(witnessReachable);
    for (std::size_t number = 1; number < kConnectionsPerCheck; ++number) {
      client.checks[first + number].second(replicaReachable);
    }
  }
  /// \return the number of reachability checks so far.
  std::size_t reachabilityChecks() const { return client.checks.size() / kConnectionsPerCheck; }
  static constexpr std::size_t kConnectionsPerCheck =
      3;  ///< The witness's connection is the first.

  std::vector<std::shared_ptr<ClientView>> views;
  logstore::FakeTimers timers;
  logstore::FakeLogStore log{timers};
  node::testing::FakeHttpClient client;
  FakeWire wire;
  routing::RouteTable routes;
  routing::ReplicaTable replicas;
  routing::ReplicaSelector selector{"zone", {}};
  routing::AdmissionPolicy admission{{}};
  std::string lines;
  EventLog eventLog{[this](std::string_view bytes) {
                      lines += bytes;
                      return bytes.size();
                    },
                    [this] { return timers.now; },
                    {}};
  EdgeMetrics metrics;
  logstore::RetryingStore store{log, timers, [this] { return timers.now; }, {}, 1};
  ledger::ProgramLedger ledger{store, timers, [this] { return timers.now; }, {}};
  FakeQuota quota;
  FakeStreamOrigins origins;
  RequestRecordPeers noPeers{{}, "zone", 1};
  RunHistorySharing runHistories{
      timers,
      [this] { return timers.now; },
      noPeers,
      [this] { return routing::registrationViewOf(replicas, replicasReadAt.value_or(timers.now)); },
      [](const std::vector<std::string>&, const RequestRecordMessage&) {},
      {},
      1};
  SurvivalProofs survivalProofs{timers, [this] { return timers.now; }, client, runHistories};
  std::optional<Instant> replicasReadAt{};  ///< Unset: a moment ago.
  routing::SoftwareVersionRule softwareVersionRule;
  routing::SignOfLifeRule signOfLifeRule;
  routing::ReplicaPlacement placement{
      replicas, selector, admission, {&softwareVersionRule, &signOfLifeRule}};
  EdgeContext context{wire,     routes,      placement, ledger,
                      quota,    client,      timers,    [this] { return timers.now; },
                      eventLog, metrics,     {},        {},
                      {},       std::nullopt};
};

}  // namespace gorsetrail::edge::testing
