/// \file Virtual time and recorded exchanges for tests of the stand-ins.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "lab/standin/http_message.h"
#include "lab/standin/scheduler.h"

namespace gorsetrail::standin {

class VirtualScheduler final : public Scheduler {
 public:
  [[nodiscard]] Instant now() const override { return now_; }
  void after(Duration delay, std::function<void()> action) override {
    actions_.emplace(now_ + delay, std::move(action));
  }
  /// Runs all actions that are due up to `span` from now.
  void advance(Duration span) {
    const Instant end = now_ + span;
    while (!actions_.empty() && actions_.begin()->first <= end) {
      auto first = actions_.extract(actions_.begin());
      now_ = std::max(now_, first.key());
      first.mapped()();
    }
    now_ = end;
  }

 private:
  Instant now_{seconds(1000)};
  std::multimap<Instant, std::function<void()>> actions_;
};

class RecordedExchange final : public HttpExchange {
 public:
  void respond(HttpResponse given) override {
    response = std::move(given);
    answered = !ended;
    ended = true;
  }
  void startStream(std::vector<HttpHeader> /*headers*/) override { streaming = true; }
  void writeStream(std::string_view text) override { stream += text; }
  void endStream() override {
    answered = !ended;
    ended = true;
  }
  void drop() override {
    dropped = !ended;
    ended = true;
  }
  [[nodiscard]] bool closed() const override { return ended; }

  HttpResponse response;
  std::string stream;
  bool answered = false;
  bool streaming = false;
  bool dropped = false;
  bool ended = false;
};
using RecordedExchangePtr = std::shared_ptr<RecordedExchange>;

inline HttpRequest makeRequest(std::string method, std::string path, std::string body = "",
                               std::vector<HttpHeader> headers = {}) {
  HttpRequest request;
  request.method = std::move(method);
  const std::size_t question = path.find('?');
  request.query = question == std::string::npos ? "" : path.substr(question + 1);
  request.path = path.substr(0, question);
  request.body = std::move(body);
  request.headers = std::move(headers);
  return request;
}

/// Sends a request to anything with `handle`.
template <class Target>
RecordedExchangePtr send(Target& target, const HttpRequest& request) {
  auto exchange = std::make_shared<RecordedExchange>();
  target.handle(request, exchange);
  return exchange;
}

inline bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace gorsetrail::standin
