#include "lab/platform/replica_stand_in.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "lab/platform/request_headers.h"
#include "platform/names.h"

namespace gorsetrail::lab {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kUnavailable = 503;
constexpr char kStreamPath[] = "/stream/";

}  // namespace

ReplicaStandIn::ReplicaStandIn(boost::asio::io_context& context, std::string id,
                               const std::string& listenAddress)
    : id_(std::move(id)) {
  http::HttpServerOptions options;
  options.listenAddress = listenAddress;
  options.onRequest = [this](const http::ServerRequest& request, http::ResponseWriterPtr writer) {
    onRequest(request, std::move(writer));
  };
  options.onFault = [](http::ProtocolFault) { return http::WholeResponse{400, {}, {}}; };
  server_ = std::move(valueOf(*std::make_unique<Result<http::HttpServerPtr>>(
      http::makeHttpServer(context, std::move(options)))));
}

std::string ReplicaStandIn::address() const {
  return "127.0.0.1:" + std::to_string(server_->listeningPort());
}

std::string ReplicaStandIn::registration(const std::string& service, const std::string& state,
                                         const std::string& zone) const {
  nlohmann::json entry = {
      {"service", service}, {"address", address()}, {"zone", zone}, {"slots", 4}, {"state", state}};
  if (startedAtMs) {
    entry["born"] = *startedAtMs;
  }
  return entry.dump();
}

void ReplicaStandIn::startAgain(std::int64_t nextStartMs) {
  startedAtMs = nextStartMs;
  runs.clear();
  bodies.clear();
  heads.clear();
}

void ReplicaStandIn::onRequest(const http::ServerRequest& request, http::ResponseWriterPtr writer) {
  const std::string requestId = headerOf(request, platform::header::kRequestId);
  if (headerOf(request, platform::header::kExpectInstance) != id_) {
    writer->sendWhole({kMisdirected, {{platform::header::kNotExecuted, "1"}}, {}});
    return;
  }
  if (trouble == ReplicaTrouble::Full) {
    writer->sendWhole({kUnavailable, {{platform::header::kNotExecuted, "1"}}, {}});
    return;
  }
  ++runs[requestId];
  bodies[requestId] = request.body;
  heads[requestId] = request.headers;
  if (trouble == ReplicaTrouble::LostAnswer) {
    return;  // The writer goes, and the connection with it.
  }
  if (trouble == ReplicaTrouble::Mute) {
    muteWriters_.push_back(std::move(writer));
    return;
  }
  if (request.target.find(kStreamPath) != std::string::npos) {
    stream(request, std::move(writer));
  } else {
    writer->sendWhole({kOk, {{platform::header::kRequestId, requestId}}, "answer of " + id_});
  }
}

void ReplicaStandIn::stream(const http::ServerRequest& request,
                            http::ResponseWriterPtr writer) const {
  const int after = std::atoi(headerOf(request, platform::header::kLastEventId).c_str());
  writer->beginStream(
      kOk, {{platform::header::kRequestId, headerOf(request, platform::header::kRequestId)},
            {"Content-Type", "text/event-stream"}});
  const bool cuts = trouble == ReplicaTrouble::CutStream;
  const int last = cuts ? std::min(after + 1, kEventsOfStream) : kEventsOfStream;
  for (int number = after + 1; number <= last; ++number) {
    const std::string text = std::to_string(number);
    std::string event = "id: ";
    event += text;
    event += "\ndata: e";
    event += text;
    event += "\n\n";
    writer->write(event);
  }
  if (!cuts || last == kEventsOfStream) {
    writer->endStream();
    return;
  }
  // The observer keeps the writer until the event has left; then it goes, and the connection too.
  std::shared_ptr<http::ResponseWriter> held = std::move(writer);
  held->observe({{}, [held]() mutable {
                   held->observe({});
                   held.reset();
                 }});
}

}  // namespace gorsetrail::lab
