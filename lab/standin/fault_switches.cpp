#include "lab/standin/fault_switches.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace gorsetrail::standin {
namespace {

constexpr std::string_view kFaultsPath = "/v1/faults";
constexpr std::string_view kRunsPath = "/v1/runs";
constexpr std::string_view kCountersPath = "/v1/counters";

/// Lets a request take effect and loses its answer.
class LosingExchange final : public HttpExchange {
 public:
  explicit LosingExchange(HttpExchangePtr inner) : inner_(std::move(inner)) {}
  void respond(HttpResponse /*response*/) override { inner_->drop(); }
  void startStream(std::vector<HttpHeader> /*headers*/) override { inner_->drop(); }
  void writeStream(std::string_view /*text*/) override {}
  void endStream() override { inner_->drop(); }
  void drop() override { inner_->drop(); }
  [[nodiscard]] bool closed() const override { return inner_->closed(); }

 private:
  HttpExchangePtr inner_;
};

/// What the outside checker reads is never disturbed.
bool isForChecker(const HttpRequest& request) {
  return request.is("GET", kRunsPath) || request.is("GET", kCountersPath);
}

bool isChange(const HttpRequest& request) { return request.method != "GET"; }

Error switchError(const std::string& field, const std::string& reason) {
  return Error{ErrorKind::InvalidField, field, reason,
               "send a JSON object with some of: down, hang, leaving (true or false), delay_ms, "
               "lose_answers, refuse, break_after_tokens (numbers)"};
}

bool* flagOf(FaultSwitches& switches, const std::string& name) {
  if (name == "down") {
    return &switches.down;
  }
  if (name == "hang") {
    return &switches.hang;
  }
  return name == "leaving" ? &switches.leaving : nullptr;
}

std::uint32_t* countOf(FaultSwitches& switches, const std::string& name) {
  if (name == "delay_ms") {
    return &switches.delayMilliseconds;
  }
  if (name == "lose_answers") {
    return &switches.loseAnswers;
  }
  if (name == "refuse") {
    return &switches.refuse;
  }
  return name == "break_after_tokens" ? &switches.breakAfterTokens : nullptr;
}

Result<Success> changeSwitch(const std::string& name, const nlohmann::json& value,
                             FaultSwitches& switches) {
  if (bool* flag = flagOf(switches, name); flag != nullptr) {
    if (!value.is_boolean()) {
      return switchError(name, "must be true or false");
    }
    *flag = value.get<bool>();
    return Success{};
  }
  std::uint32_t* count = countOf(switches, name);
  if (count == nullptr) {
    return switchError(name, "unknown switch");
  }
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > UINT32_MAX) {
    return switchError(name, "must be a number from 0 to 4294967295");
  }
  *count = value.get<std::uint32_t>();
  return Success{};
}

}  // namespace

std::string toJson(const FaultSwitches& switches) {
  const nlohmann::json document = {{"down", switches.down},
                                   {"hang", switches.hang},
                                   {"leaving", switches.leaving},
                                   {"delay_ms", switches.delayMilliseconds},
                                   {"lose_answers", switches.loseAnswers},
                                   {"refuse", switches.refuse},
                                   {"break_after_tokens", switches.breakAfterTokens}};
  return document.dump();
}

Result<Success> changeSwitches(std::string_view text, FaultSwitches& switches) {
  const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
  if (!document.is_object()) {
    return switchError("body", "not a JSON object");
  }
  FaultSwitches changed = switches;
  for (const auto& [name, value] : document.items()) {
    const Result<Success> result = changeSwitch(name, value, changed);
    if (!succeeded(result)) {
      return errorOf(result);
    }
  }
  switches = changed;
  return Success{};
}

void FaultGate::handle(HttpRequest request, HttpExchangePtr exchange) {
  if (request.path == kFaultsPath) {
    serveFaults(request, *exchange);
    return;
  }
  if (isForChecker(request)) {
    standIn_.handle(request, std::move(exchange));
    return;
  }
  if (switches_.delayMilliseconds == 0) {
    pass(request, std::move(exchange));
    return;
  }
  scheduler_.after(milliseconds(switches_.delayMilliseconds),
                   [this, request = std::move(request), exchange = std::move(exchange)] {
                     pass(request, exchange);
                   });
}

void FaultGate::pass(const HttpRequest& request, HttpExchangePtr exchange) {
  if (switches_.down) {
    if (manner_ == DownManner::Drops) {
      exchange->drop();
    } else {
      exchange->respond(errorResponse(503, "down", "ask again later"));
    }
    return;
  }
  if (switches_.hang) {
    hold(std::move(exchange));
    return;
  }
  if (isChange(request) && switches_.loseAnswers > 0) {
    --switches_.loseAnswers;
    exchange = std::make_shared<LosingExchange>(std::move(exchange));
  }
  standIn_.handle(request, std::move(exchange));
}

/// Keeps a request unanswered until its peer goes.
void FaultGate::hold(HttpExchangePtr exchange) {
  std::erase_if(held_, [](const HttpExchangePtr& held) { return held->closed(); });
  held_.push_back(std::move(exchange));
}

void FaultGate::serveFaults(const HttpRequest& request, HttpExchange& exchange) {
  if (request.method == "PUT") {
    const Result<Success> result = changeSwitches(request.body, switches_);
    if (!succeeded(result)) {
      exchange.respond(errorResponse(400, errorOf(result).field + ": " + errorOf(result).reason,
                                     errorOf(result).remedy));
      return;
    }
    if (!switches_.hang) {
      held_.clear();
    }
  }
  exchange.respond(jsonResponse(200, toJson(switches_)));
}

}  // namespace gorsetrail::standin
