#include "lab/standin/http_server.h"

#include <utility>
#include <vector>

#include "http/http_server.h"

namespace gorsetrail::standin {
namespace {

/// A stand-in never gives up on a caller: how long one waits is for the caller to say.
constexpr Duration kNoTimeLimit = std::chrono::hours(24);
constexpr std::size_t kMaximumConnections = 65'536;

std::vector<http::Header> withContentType(const char* type, const std::vector<HttpHeader>& more) {
  std::vector<http::Header> headers = {{"Content-Type", type}};
  for (const HttpHeader& header : more) {
    headers.push_back({header.name, header.value});
  }
  return headers;
}

HttpRequest toRequest(http::ServerRequest message) {
  HttpRequest request;
  request.method = std::move(message.method);
  const std::size_t question = message.target.find('?');
  request.path = message.target.substr(0, question);
  request.query = question == std::string::npos ? "" : message.target.substr(question + 1);
  for (http::Header& header : message.headers) {
    request.headers.push_back({std::move(header.name), std::move(header.value)});
  }
  request.body = std::move(message.body);
  return request;
}

http::WholeResponse toWholeResponse(HttpResponse response) {
  return {response.status, withContentType(response.contentType.c_str(), response.headers),
          std::move(response.body)};
}

http::WholeResponse faultResponse(http::ProtocolFault fault) {
  switch (fault) {
    case http::ProtocolFault::HeadTooLarge:
    case http::ProtocolFault::BodyTooLarge:
      return toWholeResponse(errorResponse(413, "request too large", "send a smaller request"));
    case http::ProtocolFault::RequestTimedOut:
      return toWholeResponse(errorResponse(408, "request took too long", "send it whole"));
    case http::ProtocolFault::Malformed:
      break;
  }
  return toWholeResponse(errorResponse(400, "malformed HTTP request", "send HTTP/1.1"));
}

/// One request's answer. The writer is let go at the end, which closes the connection when the
/// answer is not whole.
class WriterExchange final : public HttpExchange {
 public:
  explicit WriterExchange(http::ResponseWriterPtr writer) : writer_(std::move(writer)) {
    // Shared, since the server may report the caller's end after this exchange is gone.
    writer_->observe({[gone = callerGone_] { *gone = true; }, {}});
  }

  void respond(HttpResponse response) override {
    if (writer_) {
      writer_->sendWhole(toWholeResponse(std::move(response)));
      writer_.reset();
    }
  }
  void startStream(std::vector<HttpHeader> headers) override {
    if (writer_) {
      headers.push_back({"Cache-Control", "no-store"});
      writer_->beginStream(200, withContentType("text/event-stream", headers));
    }
  }
  void writeStream(std::string_view text) override {
    if (writer_ && !text.empty()) {
      writer_->write(text);
    }
  }
  void endStream() override {
    if (writer_) {
      writer_->endStream();
      writer_.reset();
    }
  }
  void drop() override { writer_.reset(); }
  [[nodiscard]] bool closed() const override { return !writer_ || *callerGone_; }

 private:
  http::ResponseWriterPtr writer_;
  std::shared_ptr<bool> callerGone_ = std::make_shared<bool>(false);
};

class Listener final : public HttpListener {
 public:
  explicit Listener(http::HttpServerPtr server) : server_(std::move(server)) {}
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  ~Listener() override { server_->stop(); }
  [[nodiscard]] std::uint16_t port() const override { return server_->listeningPort(); }

 private:
  http::HttpServerPtr server_;
};

http::HttpServerKnobs standInKnobs() {
  http::HttpServerKnobs knobs;
  knobs.maximumHeadBytes = kMaximumHeaderBytes;
  knobs.maximumBodyBytes = kMaximumRequestBytes;
  knobs.maximumConnections = kMaximumConnections;
  knobs.headTimeLimit = kNoTimeLimit;
  knobs.bodyTimeLimit = kNoTimeLimit;
  knobs.idleTimeLimit = kNoTimeLimit;
  knobs.writeTimeLimit = kNoTimeLimit;
  return knobs;
}

}  // namespace

Result<std::unique_ptr<HttpListener>> listenHttp(boost::asio::io_context& context,
                                                 const std::string& address, HttpHandler handler) {
  http::HttpServerOptions options;
  options.listenAddress = address;
  options.knobs = standInKnobs();
  options.onRequest = [handle = std::move(handler)](http::ServerRequest request,
                                                    http::ResponseWriterPtr writer) {
    handle(toRequest(std::move(request)), std::make_shared<WriterExchange>(std::move(writer)));
  };
  options.onFault = faultResponse;
  Result<http::HttpServerPtr> server = http::makeHttpServer(context, std::move(options));
  if (!succeeded(server)) {
    return errorOf(server);
  }
  return std::unique_ptr<HttpListener>(std::make_unique<Listener>(std::move(valueOf(server))));
}

}  // namespace gorsetrail::standin
