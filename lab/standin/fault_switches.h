/// \file The fault switches of a stand-in, and the gate that applies the ones common to all kinds.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "lab/standin/http_message.h"
#include "lab/standin/scheduler.h"

namespace gorsetrail::standin {

/// What `PUT /v1/faults` sets; `GET /v1/faults` shows the switches in force.
struct FaultSwitches {
  bool down = false;                    ///< See `FaultGate` for what it does by kind.
  bool hang = false;                    ///< Requests are read and never answered.
  bool leaving = false;                 ///< Back ends: new work is refused as leaving.
  std::uint32_t delayMilliseconds = 0;  ///< Added before a request is looked at.
  std::uint32_t loseAnswers = 0;        ///< So many next changes take effect without an answer.
  std::uint32_t refuse = 0;             ///< Back ends: so many next works are refused, not run.
  std::uint32_t breakAfterTokens = 0;   ///< Engines: streams are cut after so many tokens.

  /// \return whether one more refusal is due; takes it.
  bool takeRefusal() { return refuse > 0 && refuse-- > 0; }
};

/// \return the switches as JSON.
std::string toJson(const FaultSwitches& switches);
/// Changes the switches that `text` names; the others stay. On an error nothing changes.
Result<Success> changeSwitches(std::string_view text, FaultSwitches& switches);

/// Serves requests of one listener; free of sockets and clocks.
class StandIn {
 public:
  virtual ~StandIn() = default;
  virtual void handle(const HttpRequest& request, HttpExchangePtr exchange) = 0;
};

/// What a request meets while a stand-in is down.
enum class DownManner : std::uint8_t {
  Refuses,  ///< Platform services: 503.
  Drops,    ///< Back ends: the connection is cut before anything runs.
};

/// Applies `down`, `hang`, `delay_ms` and `lose_answers`, and serves `/v1/faults`, before a
/// stand-in sees a request. `/v1/faults` and the checker's `GET /v1/runs` and
/// `GET /v1/counters` are never disturbed.
class FaultGate {
 public:
  /// All references outlive the gate.
  FaultGate(StandIn& standIn, FaultSwitches& switches, Scheduler& scheduler, DownManner manner)
      : standIn_(standIn), switches_(switches), scheduler_(scheduler), manner_(manner) {}

  void handle(HttpRequest request, HttpExchangePtr exchange);

 private:
  void serveFaults(const HttpRequest& request, HttpExchange& exchange);
  void pass(const HttpRequest& request, HttpExchangePtr exchange);
  void hold(HttpExchangePtr exchange);

  StandIn& standIn_;
  FaultSwitches& switches_;
  Scheduler& scheduler_;
  DownManner manner_;
  std::vector<HttpExchangePtr> held_;
};

}  // namespace gorsetrail::standin
