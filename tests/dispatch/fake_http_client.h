/// \file HTTP client whose answers the test plays by hand.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http/http_client.h"

namespace gorsetrail::node::testing {

/// Keeps every request; nothing is answered on its own.
class FakeHttpClient : public http::HttpClient {
 public:
  struct Exchange : http::RequestHandle {
    http::Request request;
    http::ResponseHandler handler;
    bool cancelled = false;
    std::optional<Instant> openedAt;  ///< Of the connection.
    void cancel() override { cancelled = true; }
    [[nodiscard]] std::optional<Instant> connectionOpenedAt() const override { return openedAt; }

    std::string headerOf(const std::string& name) const {
      for (const http::Header& header : request.headers) {
        if (header.name == name) {
          return header.value;
        }
      }
      return "";
    }
    void head(unsigned status, std::vector<http::Header> headers = {}) {
      handler.onHead(status, headers);
    }
    void body(std::string_view part) { handler.onBody(part); }
    void done() { handler.onDone({}); }
    void fail(http::FailureStage stage) { handler.onFailure({stage, "failed"}); }
  };

  /// A handler keeps what waits for it, which keeps the exchange: the real client drops handlers
  /// at their end; here they stay callable, to show that nothing comes of it.
  ~FakeHttpClient() override {
    for (const auto& exchange : exchanges) {
      exchange->handler = {};
    }
    for (const auto& probe : probes) {
      probe->handler = {};
    }
  }

  http::RequestHandlePtr send(http::Request request, http::ResponseHandler handler) override {
    const auto exchange = std::make_shared<Exchange>();
    exchange->request = std::move(request);
    exchange->handler = std::move(handler);
    (exchange->request.connectionOpenedBefore ? probes : exchanges).push_back(exchange);
    return exchange;
  }

  void checkReachable(const std::string& address, Duration /*limit*/,
                      std::function<void(bool)> callback) override {
    checks.emplace_back(address, std::move(callback));
  }

  Exchange& last() { return *exchanges.back(); }

  std::vector<std::shared_ptr<Exchange>> exchanges;
  /// Requests that are sent on an earlier connection or not at all.
  std::vector<std::shared_ptr<Exchange>> probes;
  std::vector<std::pair<std::string, std::function<void(bool)>>> checks;
};

}  // namespace gorsetrail::node::testing
