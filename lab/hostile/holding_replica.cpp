#include "lab/hostile/holding_replica.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "lab/platform/request_headers.h"
#include "platform/names.h"

namespace gorsetrail::lab {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kMisdirected = 421;
constexpr std::uint32_t kMaximumHeadBytes = 1024 * 1024;
constexpr std::uint64_t kMaximumBodyBytes = std::uint64_t{256} * 1024 * 1024;

}  // namespace

HoldingReplica::HoldingReplica(boost::asio::io_context& context, std::string id)
    : id_(std::move(id)) {
  http::HttpServerOptions options;
  options.listenAddress = "127.0.0.1:0";
  options.knobs.maximumBodyBytes = kMaximumBodyBytes;
  options.knobs.maximumHeadBytes = kMaximumHeadBytes;
  options.onRequest = [this](const http::ServerRequest& request, http::ResponseWriterPtr writer) {
    onRequest(request, std::move(writer));
  };
  options.onFault = [](http::ProtocolFault) { return http::WholeResponse{400, {}, {}}; };
  auto made = http::makeHttpServer(context, std::move(options));
  server_ = std::move(valueOf(made));
}

std::string HoldingReplica::registration(const std::string& service) const {
  return nlohmann::json{{"service", service},
                        {"address", "127.0.0.1:" + std::to_string(server_->listeningPort())},
                        {"zone", "z"},
                        {"slots", 64},
                        {"state", "ready"}}
      .dump();
}

void HoldingReplica::hold(const std::string& path) {
  heldPath_ = path;
  for (const Held& held : std::exchange(held_, {})) {
    answer(held.target, held.requestId, *held.writer);
  }
}

void HoldingReplica::onRequest(const http::ServerRequest& request, http::ResponseWriterPtr writer) {
  const std::string requestId = lab::headerOf(request, platform::header::kRequestId);
  if (lab::headerOf(request, platform::header::kExpectInstance) != id_) {
    writer->sendWhole({kMisdirected, {{platform::header::kNotExecuted, "1"}}, {}});
    return;
  }
  RunRequest& run = requests[requestId];
  run = {request.method, request.target, request.headers, request.body.size(), run.runs + 1};
  if (!heldPath_.empty() && request.target.find(heldPath_) != std::string::npos) {
    held_.push_back({request.target, requestId, std::move(writer)});
  } else {
    answer(request.target, requestId, *writer);
  }
}

void HoldingReplica::answer(const std::string& target, const std::string& requestId,
                            http::ResponseWriter& writer) {
  if (target.find("/kept/") == std::string::npos) {
    writer.sendWhole({kOk, {{platform::header::kRequestId, requestId}}, "whole answer"});
    return;
  }
  writer.beginStream(
      kOk, {{platform::header::kRequestId, requestId}, {"Content-Type", "text/event-stream"}});
  writer.write("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  writer.endStream();
}

}  // namespace gorsetrail::lab
