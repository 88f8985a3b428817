#include "lab/faultsoak/soak_replica.h"

#include <cstdlib>
#include <memory>
#include <utility>

#include "lab/platform/request_headers.h"
#include "platform/names.h"

namespace gorsetrail::lab {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kServerError = 500;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kUnavailable = 503;
constexpr char kStreamPath[] = "/stream/";
/// Begins the line of each event that tells its writer's software version.
constexpr char kVersionLine[] = "event: ";

/// \param versionLine empty, or a line that tells the writer's software version.
std::string eventText(const std::string& requestId, int number, const std::string& versionLine) {
  return "id: " + std::to_string(number) + "\n" + versionLine +
         "data: " + SoakReplica::eventData(requestId, number) + "\n\n";
}

void refuse(http::ResponseWriter& writer, const std::string& requestId, unsigned status) {
  writer.sendWhole(
      {status,
       {{platform::header::kNotExecuted, "1"}, {platform::header::kRequestId, requestId}},
       {}});
}

}  // namespace

std::string SoakReplica::markOf(Effect effect) {
  switch (effect) {
    case Effect::EndBeforeHead:
      return "!head";
    case Effect::EndAfterFirstEvent:
      return "!first";
    case Effect::EndMidway:
      return "!midway";
    case Effect::EndSilently:
      return "!silent";
    case Effect::None:
      break;
  }
  return {};
}

SoakReplica::Effect SoakReplica::effectOf(std::string_view programId) {
  for (std::size_t number = 1; number <= kEffects; ++number) {
    const auto effect = static_cast<Effect>(number);
    if (programId.ends_with(markOf(effect))) {
      return effect;
    }
  }
  return Effect::None;
}

/// A stream under way.
struct SoakReplica::Stream {
  std::string requestId;
  std::string body;
  std::string tenant;
  http::ResponseWriterPtr writer;
  Effect effect = Effect::None;
  std::uint64_t life = 0;  ///< Of the replica, when the stream began.
  int next = 1;
  int cutAfter = kEventsOfStream;  ///< It closes behind this event, unless it is the last.
};

SoakReplica::SoakReplica(boost::asio::io_context& context, services::TimerService& timers,
                         PromiseWatcher& watcher, std::string id, std::uint64_t seed,
                         SoakReplicaCapacity capacity, std::string softwareVersion)
    : timers_(timers),
      watcher_(watcher),
      id_(std::move(id)),
      softwareVersion_(std::move(softwareVersion)),
      random_(seed),
      capacity_(capacity) {
  http::HttpServerOptions options;
  options.listenAddress = "127.0.0.1:0";
  options.onRequest = [this](const http::ServerRequest& request, http::ResponseWriterPtr writer) {
    onRequest(request, std::move(writer));
  };
  options.onFault = [](http::ProtocolFault) { return http::WholeResponse{400, {}, {}}; };
  auto made = http::makeHttpServer(context, std::move(options));
  if (succeeded(made)) {
    server_ = std::move(valueOf(made));
  }
}

std::string SoakReplica::address() const {
  return "127.0.0.1:" + std::to_string(server_->listeningPort());
}

std::string SoakReplica::eventData(const std::string& requestId, int number) {
  return "out-" + requestId + "-" + std::to_string(number);
}

std::string SoakReplica::streamAfter(const std::string& requestId, int event) {
  std::string text;
  for (int number = event + 1; number <= kEventsOfStream; ++number) {
    text += eventText(requestId, number, {});
  }
  return text;
}

int SoakReplica::eventsIn(const std::string& bytes) {
  int events = 0;
  for (std::size_t at = bytes.find("\n\n"); at != std::string::npos;
       at = bytes.find("\n\n", at + 2)) {
    ++events;
  }
  return events;
}

std::vector<std::string> SoakReplica::takeVersions(std::string& body) {
  const std::string prefix = kVersionLine;
  std::vector<std::string> versions;
  for (std::size_t at = body.find(prefix); at != std::string::npos; at = body.find(prefix, at)) {
    const std::size_t end = body.find('\n', at);
    if (end == std::string::npos) {
      break;
    }
    versions.push_back(body.substr(at + prefix.size(), end - at - prefix.size()));
    body.erase(at, end + 1 - at);
  }
  const std::string lastLine = body.substr(body.rfind('\n') + 1);
  if (prefix.starts_with(lastLine) || lastLine.starts_with(prefix)) {
    body.resize(body.size() - lastLine.size());
  }
  return versions;
}

std::string SoakReplica::plainAnswer(const std::string& requestId) {
  return "answer to " + requestId;
}

void SoakReplica::onRequest(const http::ServerRequest& request, http::ResponseWriterPtr writer) {
  const std::string requestId = headerOf(request, platform::header::kRequestId);
  const std::string expected = headerOf(request, platform::header::kExpectInstance);
  const bool misdirected = expected != id_;
  if (misdirected && onMisdirected) {
    onMisdirected(expected);
  }
  if (!misdirected && onArrival) {
    onArrival();
  }
  if (misdirected || random_.fraction() < troubles.refused) {
    refuse(*writer, requestId, misdirected ? kMisdirected : kUnavailable);
    return;
  }
  const Effect effect = effectOf(headerOf(request, platform::header::kProgramId));
  if (effect != Effect::None && random_.fraction() < kShareOfFailuresInstead) {
    ++failuresInstead_;
    writer->sendWhole({kServerError, {{platform::header::kRequestId, requestId}}, "failed"});
    return;
  }
  if (request.target.find(kStreamPath) != std::string::npos) {
    auto stream = std::make_shared<Stream>();
    stream->effect = effect;
    stream->requestId = requestId;
    stream->body = request.body;
    stream->tenant = headerOf(request, platform::header::kTenant);
    stream->writer = std::move(writer);
    stream->next = std::atoi(headerOf(request, platform::header::kLastEventId).c_str()) + 1;
    takeStream(stream);
    return;
  }
  watcher_.onRun(requestId, request.body, false);
  if (effect != Effect::None) {
    runningIds_.insert(requestId);
    end(effect, std::move(writer));
    return;
  }
  if (random_.fraction() < troubles.lostAnswer) {
    return;  // The writer goes, and the connection with it.
  }
  writer->sendWhole({kOk, {{platform::header::kRequestId, requestId}}, plainAnswer(requestId)});
}

void SoakReplica::startAgain() {
  watcher_.onReplicaEnd({runningIds_.begin(), runningIds_.end()});
  runningIds_.clear();
  ++life_;
  running_ = 0;
  waiting_.clear();
  held_.clear();
}

void SoakReplica::replace(std::string id, std::string softwareVersion) {
  startAgain();
  id_ = std::move(id);
  softwareVersion_ = std::move(softwareVersion);
}

void SoakReplica::end(Effect effect, http::ResponseWriterPtr writer) {
  startAgain();
  silentWriters_.clear();
  if (effect == Effect::EndSilently) {
    silentWriters_.push_back(std::move(writer));  // Destroying it would close the connection.
  }
  if (onEnd) {
    onEnd(effect);
  }
}

void SoakReplica::takeStream(const std::shared_ptr<Stream>& stream) {
  const bool slotIsFree = running_ < capacity_.slots;
  if (!slotIsFree && waiting_.size() >= capacity_.queued) {
    refuse(*stream->writer, stream->requestId, kUnavailable);
    return;
  }
  stream->life = life_;
  ++held_[stream->tenant];
  if (slotIsFree) {
    run(stream);
  } else {
    waiting_.push_back(stream);
  }
}

void SoakReplica::run(const std::shared_ptr<Stream>& stream) {
  ++running_;
  watcher_.onRun(stream->requestId, stream->body, stream->next > 1);
  runningIds_.insert(stream->requestId);
  if (stream->effect == Effect::EndBeforeHead || stream->effect == Effect::EndSilently) {
    end(stream->effect, std::move(stream->writer));
    return;
  }
  if (random_.fraction() < troubles.lostAnswer) {
    stream->writer.reset();  // The connection goes with it.
    release(stream);
    return;
  }
  stream->writer->beginStream(kOk, {{platform::header::kRequestId, stream->requestId},
                                    {"Content-Type", "text/event-stream"}});
  if (random_.fraction() < troubles.cutStream) {
    stream->cutAfter = static_cast<int>(random_.below(kEventsOfStream)) + 1;
  }
  continueStream(stream);
}

void SoakReplica::release(const std::shared_ptr<Stream>& stream) {
  --running_;
  --held_[stream->tenant];
  runningIds_.erase(stream->requestId);
  if (!waiting_.empty()) {
    const std::shared_ptr<Stream> next = waiting_.front();
    waiting_.pop_front();
    run(next);
  }
}

void SoakReplica::continueStream(const std::shared_ptr<Stream>& stream) {
  if (stream->life != life_) {
    return;  // The writer goes, and the connection with it.
  }
  constexpr int kMidway = kEventsOfStream / 2;
  const bool endsNow = (stream->effect == Effect::EndAfterFirstEvent && stream->next > 1) ||
                       (stream->effect == Effect::EndMidway && stream->next > kMidway);
  if (endsNow) {
    end(stream->effect, std::move(stream->writer));
    return;
  }
  if (stream->next > kEventsOfStream) {
    stream->writer->endStream();
    release(stream);
    return;
  }
  stream->writer->write(
      eventText(stream->requestId, stream->next, kVersionLine + softwareVersion_ + "\n"));
  const bool cut = stream->next == stream->cutAfter && stream->next < kEventsOfStream;
  ++stream->next;
  timers_.runAfter(kEventPause, [this, stream, cut] {
    if (!cut) {
      continueStream(stream);
    } else if (stream->life == life_) {
      stream->writer.reset();  // The connection goes with it.
      release(stream);
    }
  });
}

}  // namespace gorsetrail::lab
