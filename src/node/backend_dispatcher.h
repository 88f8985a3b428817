/// \file Carries out dispatches over HTTP and reports what came of them.
///
/// What it may say of a dispatch, and when:
/// - `DispatchNotSent`: not one byte left this node, and the dispatch does not resume an older one.
/// - `DispatchRefused`: the back end answered 503 or a 4xx (but not 408 or 409) and named the
/// dispatch's
///   own id in `X-Request-Id`; an application has also said `X-Not-Run: true`. Never for a resumed
///   stream, whose request was sent before.
/// - `DispatchFinished`: the whole answer came, with its usage (engines).
/// - `DispatchBroken`: all else; the request may have run.
///
/// Application requests carry `Idempotency-Key: <program hex>.<call>`, the same for every attempt
/// and every epoch, so that the back end can tell a repetition whoever sends it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "engine/call_interface.h"
#include "http/http_client.h"
#include "services/event_stream.h"

namespace gorsetrail::node {

/// Counters for `/metrics`; they only rise.
struct DispatchCounters {
  std::uint64_t started = 0;
  std::uint64_t resumed = 0;
  std::uint64_t finished = 0;
  std::uint64_t refused = 0;
  std::uint64_t notSent = 0;
  std::uint64_t broken = 0;
  std::uint64_t malformed = 0;  ///< Those of `broken` whose answer could not be read.
  std::uint64_t cancelled = 0;
  std::uint64_t chunks = 0;
};

/// \return the `Idempotency-Key` of a dispatch to an application:
/// `<program hex>.<request digest hex>`. It stays the same over attempts, owners and epochs, so
/// that an application which keeps keys recognises a request; the program keeps tenants apart.
std::string idempotencyKeyOf(const engine::StartDispatch& command);

/// Single-threaded: used on the thread that calls the HTTP client's callbacks.
class BackendDispatcher {
 public:
  using OnEvent = std::function<void(CallHandle, const engine::DispatchEvent&)>;

  /// \param client outlives the dispatcher. `onEvent` may be called before `start` returns.
  BackendDispatcher(http::HttpClient& client, OnEvent onEvent);
  /// Cancels the connections that are under way; nothing is reported after it.
  ~BackendDispatcher();
  BackendDispatcher(const BackendDispatcher&) = delete;
  BackendDispatcher& operator=(const BackendDispatcher&) = delete;

  /// Sends a request. Ends in exactly one of NotSent, Refused, Finished, Broken, unless it is
  /// cancelled; chunks of an engine's stream come before, in the order of their offsets.
  /// A resumed stream's `DispatchFinished::answer` is the text from `resumeFrom` on.
  void start(const engine::StartDispatch& command);
  /// Ends a dispatch: its connection is closed, nothing more is reported of it, and an engine is
  /// asked to stop working on it. Does so also for a dispatch that is not known here.
  void cancel(const engine::CancelDispatch& command);
  /// \return dispatches under way.
  [[nodiscard]] std::size_t underWay() const { return active_.size(); }
  [[nodiscard]] const DispatchCounters& counters() const { return counters_; }

 private:
  struct Dispatch;
  using DispatchPtr = std::shared_ptr<Dispatch>;

  http::ResponseHandler makeHandler(const DispatchPtr& dispatch);
  void onHead(const DispatchPtr& dispatch, unsigned status,
              const std::vector<http::Header>& headers);
  void onBody(const DispatchPtr& dispatch, std::string_view part);
  void onDone(const DispatchPtr& dispatch);
  void onFailure(const DispatchPtr& dispatch, const http::Failure& failure);
  bool onStreamEvent(Dispatch& dispatch, const services::ServerSentEvent& event);
  bool takeText(Dispatch& dispatch, const services::ServerSentEvent& event);
  void finishApplication(const DispatchPtr& dispatch);
  void endNotSent(const DispatchPtr& dispatch, const std::string& reason);
  void endRefused(const DispatchPtr& dispatch);
  void endBroken(const DispatchPtr& dispatch, const std::string& reason);
  void endMalformed(const DispatchPtr& dispatch, const std::string& reason);
  void endFinished(const DispatchPtr& dispatch);
  void end(const DispatchPtr& dispatch, const engine::DispatchEvent& event);

  http::HttpClient& client_;
  OnEvent onEvent_;
  std::map<DispatchId, DispatchPtr> active_;
  DispatchCounters counters_;
};

}  // namespace gorsetrail::node
