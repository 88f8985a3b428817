// What each fault of the proxy does to a connection.
#include "lab/faultsoak/fault_proxy.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <optional>

#include "http/http_client.h"
#include "http/http_server.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::lab;

TEST_GROUP(FaultProxy) {
  std::unique_ptr<boost::asio::io_context> context;
  http::HttpServerPtr server;
  std::unique_ptr<FaultProxy> proxy;
  http::HttpClientPtr client;
  int requestsSeen = 0;

  void setup() override {
    context = std::make_unique<boost::asio::io_context>(1);
    http::HttpServerOptions options;
    options.listenAddress = "127.0.0.1:0";
    options.onRequest = [this](const http::ServerRequest&, http::ResponseWriterPtr writer) {
      ++requestsSeen;
      writer->sendWhole({200, {}, "well"});
    };
    options.onFault = [](http::ProtocolFault) { return http::WholeResponse{400, {}, {}}; };
    auto made = http::makeHttpServer(*context, std::move(options));
    server = std::move(valueOf(made));
    proxy = std::make_unique<FaultProxy>(*context,
                                         "127.0.0.1:" + std::to_string(server->listeningPort()));
    client = http::makeHttpClient(*context);
  }
  void teardown() override {
    client.reset();
    proxy.reset();
    server.reset();
    context->restart();
    context->poll();
    context.reset();
  }
  /// \return the status, or 0 when no answer came within the limit.
  unsigned ask(Duration limit) {
    std::optional<unsigned> status;
    http::Request request;
    request.address = proxy->address();
    request.timeLimit = limit;
    http::ResponseHandler handler;
    handler.onDone = [&status](const http::Response& response) { status = response.status; };
    handler.onFailure = [&status](const http::Failure&) { status = 0; };
    client->send(std::move(request), std::move(handler));
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!status && std::chrono::steady_clock::now() < end) {
      context->restart();
      context->run_for(std::chrono::milliseconds(5));
    }
    return status.value_or(0);
  }
};

TEST(FaultProxy, passesConnectionsOn) { LONGS_EQUAL(200, ask(seconds(2))); }

TEST(FaultProxy, countsWhatCallersSayAlsoWhereItIsNotPassedOn) {
  LONGS_EQUAL(0, proxy->piecesFromCallers());
  ask(seconds(2));
  LONGS_EQUAL(1, proxy->piecesFromCallers());
  proxy->setFault(ProxyFault::CutToServer);
  ask(milliseconds(100));
  LONGS_EQUAL(2, proxy->piecesFromCallers());
}

TEST(FaultProxy, aDelayLetsItThroughLater) {
  proxy->setFault(ProxyFault::Delay, milliseconds(60));
  const auto before = std::chrono::steady_clock::now();
  LONGS_EQUAL(200, ask(seconds(2)));
  CHECK(std::chrono::steady_clock::now() - before >= std::chrono::milliseconds(120));
}

TEST(FaultProxy, aResetEndsStandingConnectionsAndNewOnes) {
  LONGS_EQUAL(200, ask(seconds(2)));
  proxy->setFault(ProxyFault::Reset);
  LONGS_EQUAL(0, ask(seconds(2)));
  proxy->setFault(ProxyFault::None);
  LONGS_EQUAL(200, ask(seconds(2)));
}

TEST(FaultProxy, cutsSayNothingAndDifferInWhatTheServerSees) {
  proxy->setFault(ProxyFault::CutToServer);
  LONGS_EQUAL(0, ask(milliseconds(150)));
  LONGS_EQUAL(0, requestsSeen);
  proxy->setFault(ProxyFault::Reset);  // What the cut held back is lost.
  proxy->setFault(ProxyFault::CutFromServer);
  LONGS_EQUAL(0, ask(milliseconds(150)));
  LONGS_EQUAL(1, requestsSeen);
  proxy->setFault(ProxyFault::Reset);
  proxy->setFault(ProxyFault::Silence);
  LONGS_EQUAL(0, ask(milliseconds(150)));
  LONGS_EQUAL(1, requestsSeen);
  proxy->setFault(ProxyFault::Reset);
  proxy->setFault(ProxyFault::None);
  LONGS_EQUAL(200, ask(seconds(2)));
}
