/// \file A model engine over HTTP: the engine model driven by a timer, its answers streamed.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "lab/enginemodel/engine_model.h"
#include "lab/standin/engine_memory.h"
#include "lab/standin/engine_orders.h"
#include "lab/standin/engine_reports.h"
#include "lab/standin/engine_stream.h"
#include "lab/standin/fault_switches.h"

namespace gorsetrail::standin {

struct EngineStandInOptions {
  std::string model;
  std::set<std::string> adapters;
  enginemodel::EngineOptions engine;
  ReportOptions reports;
  Duration loadReportInterval = milliseconds(200);
  Duration loadTime = milliseconds(500);   ///< Of a model or adapter.
  Duration streamKeepTime = seconds(30);   ///< Finished streams can be resumed so long.
  std::uint32_t minimumAnswerTokens = 32;  ///< Answers have a length in this range that
  std::uint32_t maximumAnswerTokens = 96;  ///< depends on the messages only, or `max_tokens`.
};

/// One engine. Streams go on when their listener's connection is lost; they end, are cancelled by
/// `DELETE /v1/streams/ID`, or are taken up again by `GET /v1/streams/ID?from=N`.
class EngineStandIn final : public StandIn {
 public:
  /// \param switches, scheduler outlive the stand-in and its timers.
  EngineStandIn(EngineStandInOptions options, FaultSwitches& switches, Scheduler& scheduler);

  void handle(const HttpRequest& request, HttpExchangePtr exchange) override;

 private:
  /// What a request for an answer says, checked.
  struct ChatRequest {
    std::string requestId;
    std::string canonicalText;  ///< Model, adapter and messages: what the prefix cache knows.
    std::string digest;
    std::uint32_t priority = 0;
    std::uint32_t answerTokens = 0;
    ListenerMode mode = ListenerMode::Whole;
  };

  HttpResponse answerOf(const HttpRequest& request);
  void serveChat(const HttpRequest& request, HttpExchangePtr exchange);
  Result<ChatRequest> parseChat(const HttpRequest& request) const;
  [[nodiscard]] std::optional<HttpResponse> refusalBeforeRun();
  void submit(const ChatRequest& chat, HttpExchangePtr exchange);
  void resumeStream(const std::string& id, const HttpRequest& request, HttpExchangePtr exchange);
  HttpResponse cancelStream(const std::string& id);
  [[nodiscard]] std::uint32_t answerLength(const std::string& digest,
                                           std::uint32_t maximumTokens) const;

  void pump();
  void deliver(const enginemodel::EngineEvent& event);
  void scheduleNextStep();
  void reportLoad();
  void forgetOldStreams();

  EngineStandInOptions options_;
  FaultSwitches& switches_;
  Scheduler& scheduler_;
  enginemodel::EngineModel model_;
  EngineMemory memory_;
  EngineOrders orders_;
  EngineReports reports_;
  std::unordered_map<std::string, EngineStream> streams_;
  std::deque<std::string> finishedOrder_;
  std::uint64_t requests_ = 0;  ///< All that came to run something, also refused ones.
  bool stepScheduled_ = false;
};

}  // namespace gorsetrail::standin
