// Exceptions in the handlers of one connection.
#include "http/error_boundary.h"

#include <boost/asio/io_context.hpp>
#include <stdexcept>

#include "http/http_client.h"
#include "http/http_server.h"
#include "log_capture.h"
#include "raw_client.h"
#include "scripted_server.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::http;

namespace {

const std::string kGet = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

[[noreturn]] void fail() { throw std::length_error("field value too large"); }

}  // namespace

TEST_GROUP(ErrorBoundary) {
  boost::asio::io_context context;
  LogCapture log;
  HttpServerPtr server;
  std::vector<ResponseWriterPtr> writers;
  bool throwsOnRequest = false;
  bool throwsOnGone = false;
  std::uint64_t failuresBefore = handlerFailures();

  void setup() override {
    HttpServerOptions options;
    options.listenAddress = "127.0.0.1:0";
    options.onFault = [](ProtocolFault) { return WholeResponse{400, {}, "fault"}; };
    options.onRequest = [this](const ServerRequest& request, ResponseWriterPtr writer) {
      writer->observe({[this] {
                         if (throwsOnGone) {
                           fail();
                         }
                       },
                       {}});
      if (throwsOnRequest) {
        fail();
      }
      if (request.target == "/held") {
        writers.push_back(std::move(writer));
      } else {
        writer->sendWhole({200, {}, "served"});
      }
    };
    auto made = makeHttpServer(context, std::move(options));
    server = std::move(valueOf(made));
  }
  void until(const std::function<bool()>& finished) { CHECK_TRUE(runUntil(context, finished)); }
  std::uint64_t failures() const { return handlerFailures() - failuresBefore; }
  /// A request on a new connection is served.
  void checkServes() {
    throwsOnRequest = false;
    RawClient client(context, server->listeningPort());
    client.startReading();
    client.send(kGet);
    until([&] { return client.has("served"); });
    client.close();
  }
};

TEST(ErrorBoundary, anExceptionOfARequestEndsItsConnectionOnly) {
  throwsOnRequest = true;
  RawClient client(context, server->listeningPort());
  client.startReading();
  client.send(kGet);
  until([&] { return client.closedByServer; });
  LONGS_EQUAL(1, failures());
  STRCMP_CONTAINS("event=connection_handler_failed role=server reason=\"field value too large\"",
                  log.lines.front().c_str());
  checkServes();
  LONGS_EQUAL(0, server->counters().responsesOpen);
}

TEST(ErrorBoundary, anExceptionOfTheObserverEndsItsConnectionOnly) {
  throwsOnGone = true;
  RawClient client(context, server->listeningPort());
  client.send("GET /held HTTP/1.1\r\nHost: x\r\n\r\n");
  until([&] { return !writers.empty(); });
  client.close();
  until([&] { return failures() > 0; });
  throwsOnGone = false;
  checkServes();
}

TEST(ErrorBoundary, anExceptionOfAnAnswersHandlerFailsTheRequestOnce) {
  const HttpClientPtr client = makeHttpClient(context);
  std::vector<FailureStage> failed;
  ResponseHandler handler;
  handler.onHead = [](unsigned, const std::vector<Header>&) { fail(); };
  handler.onFailure = [&](const Failure& failure) { failed.push_back(failure.stage); };
  Request request;
  request.address = "127.0.0.1:" + std::to_string(server->listeningPort());
  client->send(request, handler);
  until([&] { return !failed.empty(); });
  LONGS_EQUAL(static_cast<int>(FailureStage::Broken), static_cast<int>(failed.front()));
  context.restart();
  context.poll();
  LONGS_EQUAL(1, failed.size());
  LONGS_EQUAL(1, failures());
  checkServes();
}

TEST(ErrorBoundary, anExceptionOfTheFailuresHandlerEndsTheRequest) {
  const HttpClientPtr client = makeHttpClient(context);
  int calls = 0;
  ResponseHandler handler;
  handler.onDone = [](const Response&) { fail(); };
  handler.onFailure = [&](const Failure&) {
    ++calls;
    fail();
  };
  Request request;
  request.address = "127.0.0.1:" + std::to_string(server->listeningPort());
  client->send(request, handler);
  until([&] { return failures() > 0; });
  checkServes();
  CHECK_COMPARE(calls, <=, 1);
}

TEST(ErrorBoundary, headersOfAnyLengthAreSent) {
  const HttpClientPtr client = makeHttpClient(context);
  std::string outcome;
  ResponseHandler handler;
  handler.onDone = [&](const Response& response) { outcome = std::to_string(response.status); };
  handler.onFailure = [&](const Failure& failure) { outcome = failure.reason; };
  Request request;
  request.method = "TRACE";
  request.body = "body";
  request.headers = {{"X-Long", std::string(100 * 1024, 'x')}};
  request.address = "127.0.0.1:" + std::to_string(server->listeningPort());
  client->send(request, handler);
  until([&] { return !outcome.empty(); });
  // The server's own limit answers; the client has not thrown.
  LONGS_EQUAL(0, failures());
}
