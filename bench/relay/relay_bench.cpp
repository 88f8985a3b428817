/// \file What the node adds to a streamed call: the same engines asked directly and through the
/// node, in one run, alternating, at several numbers of streams side by side.

#include <gflags/gflags.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "base/time.h"
#include "bench/relay/latency_samples.h"
#include "bench/relay/process_cpu.h"
#include "http/http_client.h"

DEFINE_string(engines, "", "ip:port of each engine, comma-separated");
DEFINE_string(node, "", "ip:port of the node's caller side");
DEFINE_int32(node_pid, 0, "process id of the node, for its processor time");
DEFINE_string(engine_model, "lumo-7b", "model name that the engines serve");
DEFINE_string(work, "proof-assistant", "work name that the node serves");
DEFINE_string(tenant, "publisher-north", "tenant of the calls");
DEFINE_string(streams, "1,64,512", "numbers of streams side by side");
DEFINE_int32(tokens, 100, "tokens of each answer");
DEFINE_int32(rounds, 3, "rounds of each measurement; direct and node take turns");

namespace gorsetrail::bench {
namespace {

using WallClock = std::chrono::steady_clock;

/// Streams start spread over this span, so that no start burst hides the steady state.
constexpr std::chrono::milliseconds kStartSpread{1000};

enum class Path : std::uint8_t { Direct, ThroughNode };

struct Measurement {
  LatencySamples firstToken;
  LatencySamples betweenTokens;
  std::uint64_t tokens = 0;
  std::uint64_t failures = 0;
  Duration nodeProcessorTime{};
};

std::vector<std::string> splitList(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream stream(text);
  std::string item;
  while (std::getline(stream, item, ',')) {
    items.push_back(item);
  }
  return items;
}

Duration spanBetween(WallClock::time_point from, WallClock::time_point to) {
  return std::chrono::duration_cast<Duration>(to - from);
}

/// One round: `count` streams on one path, each from its request to its end.
class Round {
 public:
  Round(Path path, int count, int number, Measurement& measurement)
      : path_(path),
        count_(count),
        number_(number),
        measurement_(measurement),
        engines_(splitList(FLAGS_engines)),
        client_(http::makeHttpClient(context_)) {}

  void run() {
    for (int index = 0; index < count_; ++index) {
      scheduleStart(index);
    }
    context_.run();
  }

 private:
  struct Stream {
    WallClock::time_point sentAt;
    WallClock::time_point lastTokenAt;
    bool hasToken = false;
  };

  void scheduleStart(int index) {
    auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(kStartSpread * index / count_);
    timer->async_wait([this, timer, index](const boost::system::error_code&) { start(index); });
  }

  void start(int index) {
    auto stream = std::make_shared<Stream>();
    http::ResponseHandler handler;
    handler.onHead = [this](unsigned status, const std::vector<http::Header>&) {
      measurement_.failures += status == 200 ? 0 : 1;
    };
    handler.onBody = [this, stream](std::string_view part) { onPart(*stream, part); };
    handler.onDone = [](const http::Response&) {};
    handler.onFailure = [this](const http::Failure& failure) {
      measurement_.failures += 1;
      std::cerr << "stream failed: " << failure.reason << "\n";
    };
    stream->sentAt = WallClock::now();
    client_->send(requestOf(index), std::move(handler));
  }

  /// Each `"content":` of a part is one token's chunk, on both paths.
  void onPart(Stream& stream, std::string_view part) {
    static constexpr std::string_view kTokenMark = "\"content\":";
    for (std::size_t at = part.find(kTokenMark); at != std::string_view::npos;
         at = part.find(kTokenMark, at + kTokenMark.size())) {
      onToken(stream, WallClock::now());
    }
  }

  void onToken(Stream& stream, WallClock::time_point now) {
    if (stream.hasToken) {
      measurement_.betweenTokens.add(spanBetween(stream.lastTokenAt, now));
    } else {
      measurement_.firstToken.add(spanBetween(stream.sentAt, now));
    }
    stream.hasToken = true;
    stream.lastTokenAt = now;
    measurement_.tokens += 1;
  }

  http::Request requestOf(int index) const {
    const std::string name = "bench-" + std::to_string(number_) + "-" + std::to_string(index);
    const bool direct = path_ == Path::Direct;
    http::Request request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.address =
        direct ? engines_[static_cast<std::size_t>(index) % engines_.size()] : FLAGS_node;
    request.headers = {{"Content-Type", "application/json"}};
    if (direct) {
      request.headers.push_back({"X-Request-Id", name});
      request.headers.push_back({"X-Priority", "1"});
    } else {
      request.headers.push_back({"Gorsetrail-Tenant", FLAGS_tenant});
      request.headers.push_back({"Gorsetrail-Program", name});
    }
    request.body = R"({"model":")" + (direct ? FLAGS_engine_model : FLAGS_work) +
                   R"(","messages":[{"role":"user","content":"Check page )" + name +
                   R"("}],"max_tokens":)" + std::to_string(FLAGS_tokens) + R"(,"stream":true})";
    return request;
  }

  Path path_;
  int count_;
  int number_;
  Measurement& measurement_;
  std::vector<std::string> engines_;
  boost::asio::io_context context_;
  http::HttpClientPtr client_;
};

void runRound(Path path, int count, int number, Measurement& measurement) {
  const auto before = processorTimeOf(FLAGS_node_pid);
  Round(path, count, number, measurement).run();
  const auto after = processorTimeOf(FLAGS_node_pid);
  if (before && after) {
    measurement.nodeProcessorTime += *after - *before;
  }
}

void printRow(const char* measure, int count, const LatencySamples& direct,
              const LatencySamples& node) {
  for (const double fraction : {0.50, 0.99}) {
    const double directMs = direct.percentileMilliseconds(fraction);
    const double nodeMs = node.percentileMilliseconds(fraction);
    std::printf("%-14s streams=%-4d p%-3.0f direct_ms=%.3f node_ms=%.3f added_ms=%.3f\n", measure,
                count, fraction * 100, directMs, nodeMs, nodeMs - directMs);
  }
}

void measure(int count) {
  Measurement direct;
  Measurement node;
  static int number = 0;
  for (int round = 0; round < FLAGS_rounds; ++round) {
    runRound(Path::Direct, count, ++number, direct);
    runRound(Path::ThroughNode, count, ++number, node);
  }
  printRow("first_token", count, direct.firstToken, node.firstToken);
  printRow("between_tokens", count, direct.betweenTokens, node.betweenTokens);
  const double microsecondsPerToken =
      node.tokens == 0
          ? 0.0
          : static_cast<double>(node.nodeProcessorTime.count()) / static_cast<double>(node.tokens);
  std::printf(
      "relay          streams=%-4d tokens=%llu failures_direct=%llu failures_node=%llu "
      "node_cpu_us_per_token=%.2f\n",
      count, static_cast<unsigned long long>(node.tokens),
      static_cast<unsigned long long>(direct.failures),
      static_cast<unsigned long long>(node.failures), microsecondsPerToken);
}

}  // namespace
}  // namespace gorsetrail::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_engines.empty() || FLAGS_node.empty()) {
    std::cerr << "relay_bench: --engines and --node are needed; see tools/bench.sh\n";
    return 2;
  }
  for (const std::string& count : gorsetrail::bench::splitList(FLAGS_streams)) {
    gorsetrail::bench::measure(std::stoi(count));
  }
  return 0;
}
