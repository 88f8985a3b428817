/// \file Callers' side of the node: requests become core events, core commands become responses.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/log.h"
#include "http/http_server.h"
#include "node/core/node_core.h"
#include "node/front/call_request_parser.h"
#include "node/front/pending_call.h"

namespace gorsetrail::node {

struct RequestTarget;

/// What the front needs to know of its node.
struct FrontOptions {
  NodeId self;
  Incarnation incarnation;
  std::string site;
  CallDefaults defaults;
  std::size_t maximumStreamBufferBytes = std::size_t{256} * 1024;
};

/// What the front uses of the daemon.
struct FrontHooks {
  std::function<Instant()> now;
  std::function<std::int64_t()> wallSeconds;  ///< Seconds since 1970.
  /// Called after each event that the front gave to the core: its commands are due.
  std::function<void()> afterEvent;
  std::function<std::string()> renderMetrics;
  /// Writes one log line; `logEvent` in the daemon.
  std::function<void(LogLevel, std::string_view, std::initializer_list<LogField>)> log;
  std::function<void(double)> observeCallSeconds;      ///< Arrival to the answer's end.
  std::function<void(double)> observeDispatchSeconds;  ///< Arrival to the first dispatch.
};

/// Single-threaded. Holds every call from its arrival to its answer.
class CallerFront {
 public:
  /// \param core outlives the front.
  CallerFront(FrontOptions options, NodeCore& core, FrontHooks hooks);
  CallerFront(const CallerFront&) = delete;
  CallerFront& operator=(const CallerFront&) = delete;

  void onRequest(http::ServerRequest request, http::ResponseWriterPtr writer);

  /// \name Commands of the core
  /// @{
  void onDispatchStarted(const engine::StartDispatch& command);
  void onChunk(const engine::AnswerChunk& chunk);
  void onCompleted(const engine::AnswerCompleted& completed);
  void onRefused(const engine::AnswerRefused& refused);
  void onClosed(const CloseCompleted& closed);
  /// @}

  /// From now on every new call is refused with `NodeStopping`.
  void beginStop() { stopping_ = true; }
  /// \return calls and closes that wait for the core.
  [[nodiscard]] std::size_t underWay() const { return calls_.size() + closes_.size(); }
  /// \return whether a call was accepted and never dispatched so far.
  [[nodiscard]] bool hasUndispatchedCall() const;

 private:
  /// A `DELETE` that waits for the core.
  struct PendingClose {
    ProgramKey key;
    std::string target;
    http::ResponseWriterPtr writer;
  };

  void route(http::ServerRequest request, http::ResponseWriterPtr writer);
  void takeCall(http::ServerRequest request, http::ResponseWriterPtr writer);
  void admit(engine::CallRequest call, std::string target, http::ResponseWriterPtr writer);
  void onCallerGone(CallHandle handle);
  void servePrograms(const std::string& method, const RequestTarget& target,
                     const std::string& rawTarget, http::ResponseWriterPtr writer);
  void showProgram(const ProgramKey& key, http::ResponseWriter& writer);
  void closeProgram(const ProgramKey& key, const std::string& target,
                    http::ResponseWriterPtr writer);
  void serveHealth(http::ResponseWriter& writer);
  void serveStatus(http::ResponseWriter& writer);
  void refuseRequest(const Error& error, const std::string& target, http::ResponseWriter& writer);
  [[nodiscard]] Error stoppingError() const;
  [[nodiscard]] Error stoppingErrorFor(const engine::CallRequest& call) const;
  void logEnd(const PendingCall& call, const char* event, CallHandle handle,
              const engine::AnswerCompleted* completed, const Error* error);

  FrontOptions options_;
  NodeCore& core_;
  FrontHooks hooks_;
  std::uint64_t lastHandle_ = 0;
  std::unordered_map<CallHandle, std::unique_ptr<PendingCall>> calls_;
  std::unordered_map<CallHandle, PendingClose> closes_;
  bool stopping_ = false;
};

}  // namespace gorsetrail::node
