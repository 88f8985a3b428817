#include "lab/load/watchers.h"

#include <nlohmann/json.hpp>
#include <optional>

#include "lab/load/http_exchange.h"

namespace gorsetrail::load {
namespace {

using boost::asio::awaitable;
using nlohmann::json;

constexpr Duration kPageTimeLimit = seconds(2);
constexpr Duration kHoldsInterval = milliseconds(500);
constexpr unsigned kOk = 200;

/// \return the JSON object that a page shows; nothing when it does not.
awaitable<std::optional<json>> read(http::HttpClient& client, std::string address,
                                    std::string target, std::string method = "GET",
                                    std::string body = "") {
  http::Request request;
  request.method = std::move(method);
  request.address = std::move(address);
  request.target = std::move(target);
  request.body = std::move(body);
  request.timeLimit = kPageTimeLimit;
  const HttpOutcome outcome = co_await exchange(client, std::move(request));
  const auto* response = std::get_if<http::Response>(&outcome);
  if (response == nullptr || response->status != kOk) {
    co_return std::nullopt;
  }
  json page = json::parse(response->body, nullptr, false);
  if (!page.is_object()) {
    co_return std::nullopt;
  }
  co_return page;
}

awaitable<std::optional<std::uint64_t>> requestsOf(http::HttpClient& client, std::string address) {
  const std::optional<json> page = co_await read(client, std::move(address), "/v1/counters");
  if (!page) {
    co_return std::nullopt;
  }
  co_return page->value("requests", std::uint64_t{0});
}

awaitable<std::optional<std::uint32_t>> holdsOf(http::HttpClient& client, std::string address) {
  const std::optional<json> page = co_await read(client, std::move(address), "/v1/holds");
  if (!page || !page->contains("holds")) {
    co_return std::nullopt;
  }
  co_return static_cast<std::uint32_t>((*page)["holds"].size());
}

}  // namespace

awaitable<void> watchStatus(const SiteLoad& site, Duration interval, http::HttpClient& client,
                            PromiseChecker& checker, const bool& stop) {
  while (!stop) {
    for (const NodeAddress& node : site.nodes) {
      const std::optional<json> page = co_await read(client, node.callers, "/v1/status");
      if (page) {
        checker.on(StatusSeen{site.name, node.node, page->value("incarnation", std::uint64_t{0}),
                              page->value("bundle_version", std::uint64_t{0}), currentTime()});
      }
    }
    co_await pause(interval);
  }
}

awaitable<void> testLeaving(LeavingTest test, http::HttpClient& client, PromiseChecker& checker) {
  co_await pause(test.after);
  co_await read(client, test.engine, "/v1/faults", "PUT", R"({"leaving":true})");
  co_await pause(test.grace);
  const auto afterGrace = co_await requestsOf(client, test.engine);
  co_await pause(test.watch);
  const auto atEnd = co_await requestsOf(client, test.engine);
  if (afterGrace && atEnd) {
    checker.on(LeavingWatched{test.engine, *afterGrace, *atEnd});
  }
  co_await read(client, test.engine, "/v1/faults", "PUT", R"({"leaving":false})");
}

awaitable<bool> countRuns(const SiteLoad& site, http::HttpClient& client, PromiseChecker& checker) {
  bool complete = true;
  for (const std::string& address : site.applications) {
    const std::optional<json> page = co_await read(client, address, "/v1/runs");
    complete = complete && page.has_value();
    for (const json& run : page ? page->value("runs", json::array()) : json::array()) {
      checker.on(RunsCounted{run.value("content", ""), run.value("count", 0U)});
    }
  }
  co_return complete;
}

awaitable<void> awaitEmptyHolds(const SiteLoad& site, Instant deadline, http::HttpClient& client,
                                PromiseChecker& checker) {
  for (const std::string& engine : site.engines) {
    std::optional<std::uint32_t> count = co_await holdsOf(client, engine);
    while (count.value_or(1) > 0 && currentTime() < deadline) {
      co_await pause(kHoldsInterval);
      count = co_await holdsOf(client, engine);
    }
    if (count) {
      checker.on(HoldsSeen{engine, *count});
    }
  }
}

}  // namespace gorsetrail::load
