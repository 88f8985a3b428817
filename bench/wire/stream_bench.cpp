/// \file Prints what a token of an engine's stream costs from the bytes to the dispatch event.
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "http/http_client.h"
#include "node/backend_dispatcher.h"

namespace {

using namespace gorsetrail;
using Clock = std::chrono::steady_clock;

constexpr std::uint32_t kTokens = 200'000;

/// Hands the handler to the bench, which plays the engine.
class OneRequestClient : public http::HttpClient {
 public:
  http::RequestHandlePtr send(http::Request, http::ResponseHandler given) override {
    handler = std::move(given);
    return nullptr;
  }
  void checkReachable(const std::string& /*address*/, Duration /*limit*/,
                      std::function<void(bool)> callback) override {
    callback(true);
  }
  http::ResponseHandler handler;
};

std::vector<std::string> makeStream() {
  std::vector<std::string> parts;
  parts.reserve(kTokens + 1);
  for (std::uint32_t token = 0; token < kTokens; ++token) {
    parts.push_back("id: " + std::to_string(token) +
                    "\ndata: {\"id\":\"chatcmpl-0123456789abcdef\",\"object\":"
                    "\"chat.completion.chunk\",\"created\":1700000000,\"model\":\"lumo-7b\","
                    "\"choices\":[{\"index\":0,\"delta\":{\"content\":\" word\"},"
                    "\"finish_reason\":null}]}\n\n");
  }
  parts.emplace_back(
      "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":"
      "200000}}\n\ndata: [DONE]\n\n");
  return parts;
}

}  // namespace

int main() {
  OneRequestClient client;
  std::uint64_t chunks = 0;
  bool finished = false;
  node::BackendDispatcher dispatcher(
      client, [&chunks, &finished](CallHandle, const engine::DispatchEvent& event) {
        chunks += std::holds_alternative<engine::DispatchChunk>(event) ? 1 : 0;
        finished = finished || std::holds_alternative<engine::DispatchFinished>(event);
      });
  engine::StartDispatch start;
  start.body = "{}";
  dispatcher.start(start);
  const std::vector<std::string> parts = makeStream();
  const Clock::time_point begin = Clock::now();
  client.handler.onHead(200, {});
  for (const std::string& part : parts) {
    client.handler.onBody(part);
  }
  const std::chrono::duration<double, std::micro> spent = Clock::now() - begin;
  std::printf("tokens=%llu finished=%d microseconds_a_token=%.3f\n",
              static_cast<unsigned long long>(chunks), finished ? 1 : 0, spent.count() / kTokens);
  return finished && chunks == kTokens ? 0 : 1;
}
