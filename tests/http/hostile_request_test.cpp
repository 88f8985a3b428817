// Requests that no sound client sends.
#include <boost/asio/io_context.hpp>

#include "http/http_server.h"
#include "raw_client.h"
#include "scripted_server.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::http;

namespace {

constexpr std::uint32_t kHeadLimit = 1024;

std::string chunked(const std::string& rest) {
  return "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + rest;
}

}  // namespace

TEST_GROUP(HostileRequest) {
  boost::asio::io_context context;
  Instant now;
  std::vector<ServerRequest> requests;
  std::vector<ProtocolFault> faults;
  HttpServerLimits knobs;
  std::shared_ptr<RequestMemory> memory;
  HttpServerPtr server;
  std::unique_ptr<RawClient> client;

  void start() {
    knobs.maximumHeadBytes = kHeadLimit;
    knobs.sweepPeriod = milliseconds(1);
    HttpServerOptions options;
    options.listenAddress = "127.0.0.1:0";
    options.knobs = knobs;
    options.clock = [this] { return now; };
    options.memory = memory;
    options.onFault = [this](ProtocolFault fault) {
      faults.push_back(fault);
      return WholeResponse{400, {}, "fault"};
    };
    options.onRequest = [this](ServerRequest request, const ResponseWriterPtr& writer) {
      requests.push_back(std::move(request));
      writer->sendWhole({200, {}, "served"});
    };
    auto made = makeHttpServer(context, std::move(options));
    CHECK_TRUE(succeeded(made));
    server = std::move(valueOf(made));
    connect();
  }
  void connect() {
    client = std::make_unique<RawClient>(context, server->listeningPort());
    client->startReading();
  }
  void until(const std::function<bool()>& finished) { CHECK_TRUE(runUntil(context, finished)); }
  void untilFault(ProtocolFault fault) {
    until([this] { return !faults.empty(); });
    LONGS_EQUAL(static_cast<int>(fault), static_cast<int>(faults.back()));
    until([this] { return client->has("fault"); });
    CHECK_TRUE(requests.empty());
  }
  /// Sends pieces until the server has refused the request. \return the bytes sent.
  std::size_t sendUntilFault(const std::string& piece, std::size_t most) {
    std::size_t sent = 0;
    while (faults.empty() && sent < most) {
      client->send(piece);
      sent += piece.size();
      context.restart();
      context.poll();
    }
    return sent;
  }
};

TEST(HostileRequest, trailersDoNotBecomeHeaders) {
  start();
  client->send(chunked("4\r\nbody\r\n0\r\nGorsetrail-Request-Id: forged\r\nX-Other: 1\r\n\r\n"));
  until([this] { return client->has("served"); });
  STRCMP_EQUAL("body", requests.front().body.c_str());
  LONGS_EQUAL(2, requests.front().headers.size());
}

TEST(HostileRequest, aTrailerOfFramingIsRefused) {
  start();
  client->send(chunked("4\r\nbody\r\n0\r\nContent-Length: 400\r\n\r\n"));
  untilFault(ProtocolFault::Malformed);
}

TEST(HostileRequest, trailersAreBounded) {
  start();
  client->send(chunked("4\r\nbody\r\n0\r\n"));
  CHECK_COMPARE(sendUntilFault("X-Trailer: 0123456789\r\n", 64 * 1024), <, 2 * kHeadLimit);
  untilFault(ProtocolFault::Malformed);
}

TEST(HostileRequest, aChunksSizeLineIsBounded) {
  start();
  client->send(chunked("4;extension="));
  CHECK_COMPARE(sendUntilFault("0123456789", 64 * 1024), <, 2 * kHeadLimit);
  untilFault(ProtocolFault::Malformed);
}

TEST(HostileRequest, aHeadOfManyCompleteFieldsIsBounded) {
  start();
  client->send("GET /a HTTP/1.1\r\n");
  CHECK_COMPARE(sendUntilFault("X-Field: 0123456789\r\n", 64 * 1024), <, 2 * kHeadLimit);
  untilFault(ProtocolFault::HeadTooLarge);
}

TEST(HostileRequest, aHeadOfOneLongFieldIsBounded) {
  start();
  client->send("GET /a HTTP/1.1\r\nX-Field: ");
  CHECK_COMPARE(sendUntilFault("0123456789", 64 * 1024), <, 2 * kHeadLimit);
  untilFault(ProtocolFault::HeadTooLarge);
}

TEST(HostileRequest, aHeadAtItsLimitIsServed) {
  start();
  std::string head = "GET /a HTTP/1.1\r\nHost: x\r\nX-Field: ";
  head += std::string(kHeadLimit - head.size() - 4, 'x') + "\r\n\r\n";
  LONGS_EQUAL(kHeadLimit, head.size());
  client->send(head);
  until([this] { return client->has("served"); });
  CHECK_TRUE(faults.empty());
}

TEST(HostileRequest, bytesOfTheNextRequestAreKeptThroughThePreviousOne) {
  start();
  const std::string next = chunked("3\r\nabc\r\n0\r\n\r\n");
  // Every way to divide two requests into two pieces.
  for (std::size_t at = 1; at < 2 * next.size(); ++at) {
    requests.clear();
    connect();
    client->send((next + next).substr(0, at));
    context.restart();
    context.poll();
    client->send((next + next).substr(at));
    until([this] { return requests.size() == 2; });
    STRCMP_EQUAL("abc", requests.front().body.c_str());
    STRCMP_EQUAL("abc", requests.back().body.c_str());
  }
  CHECK_TRUE(faults.empty());
}

TEST(HostileRequest, whatArrivedBeforeATimeLimitWasCheckedIsServed) {
  start();
  client->send("GET /a HTTP/1.1\r\n");
  until([this] { return server->counters().connectionsOpen == 1; });
  context.restart();
  context.poll();
  // As after a pause of the process: the rest arrived while the time limit passed.
  client->send("Host: x\r\n\r\n");
  now += seconds(60);
  until([this] { return client->has("served") || !faults.empty(); });
  CHECK_TRUE(faults.empty());
}

TEST(HostileRequest, tunnelsAndTracesAreRefused) {
  start();
  client->send("TRACE /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody");
  untilFault(ProtocolFault::MethodNotAllowed);
  faults.clear();
  connect();
  client->send("CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n");
  untilFault(ProtocolFault::MethodNotAllowed);
}

TEST(HostileRequest, anAnnouncedBodyIsRefusedBeforeItIsSent) {
  knobs.maximumBodyBytes = 1000;
  start();
  client->send(
      "POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1001\r\n\r\n");
  untilFault(ProtocolFault::BodyTooLarge);
  CHECK_FALSE(client->has("100 Continue"));
}

TEST(HostileRequest, anAnnouncedBodyThatHasNoRoomIsRefusedBeforeItIsSent) {
  RequestMemoryLimits limits;
  limits.maximumBytes = 100 * 1024;
  memory = std::make_shared<RequestMemory>(limits);
  start();
  client->send(
      "POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 80000\r\n\r\n");
  untilFault(ProtocolFault::OutOfMemory);
  CHECK_FALSE(client->has("100 Continue"));
  LONGS_EQUAL(0, memory->counters().bytes);
}

TEST(HostileRequest, aChunkedBodyIsRefusedOnceThereIsNoRoom) {
  RequestMemoryLimits limits;
  limits.maximumBytes = 100 * 1024;
  memory = std::make_shared<RequestMemory>(limits);
  start();
  client->send(chunked(""));
  CHECK_COMPARE(sendUntilFault("400\r\n" + std::string(1024, 'x') + "\r\n", 1024 * 1024), <,
                120 * 1024);
  untilFault(ProtocolFault::OutOfMemory);
  LONGS_EQUAL(0, memory->counters().bytes);
}

TEST(HostileRequest, theMemoryOfARequestIsHeldUntilItIsDropped) {
  memory = std::make_shared<RequestMemory>(RequestMemoryLimits{});
  start();
  client->send(chunked("3e8\r\n" + std::string(1000, 'x') + "\r\n0\r\n\r\n"));
  until([this] { return client->has("served"); });
  CHECK_COMPARE(memory->counters().bytes, >, 1000);
  requests.clear();
  LONGS_EQUAL(0, memory->counters().bytes);
}

TEST(HostileRequest, anUnfinishedRequestThatGivesWayIsAnswered) {
  RequestMemoryLimits limits;
  limits.maximumBytes = 512 * 1024;
  memory = std::make_shared<RequestMemory>(limits);
  start();
  client->send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\nbegin");
  until([this] { return memory->counters().bytes > 200000; });
  now += seconds(2);
  RawClient other(context, server->listeningPort());
  other.startReading();
  other.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 190000\r\n\r\n" +
             std::string(190000, 'x'));
  until([&] { return other.has("served"); });
  until([this] { return client->has("fault") && client->closedByServer; });
  LONGS_EQUAL(static_cast<int>(ProtocolFault::OutOfMemory), static_cast<int>(faults.front()));
}

TEST(HostileRequest, onlyChunkedEncodingIsRead) {
  start();
  for (const char* encoding :
       {"gzip", "identity", "gzip, chunked", "chunked, gzip", "xchunked", ""}) {
    faults.clear();
    connect();
    client->send("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: " + std::string(encoding) +
                 "\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n");
    untilFault(ProtocolFault::Malformed);
  }
}

TEST(HostileRequest, framingThatTwoReadersCouldReadDifferentlyIsRefused) {
  start();
  for (const char* head :
       {"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: +3\r\n\r\nabc",
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost : x\r\n\r\n", "POST /a HTTP/1.1\nHost: x\n\n",
        "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
        "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n"}) {
    faults.clear();
    connect();
    client->send(head);
    untilFault(ProtocolFault::Malformed);
  }
}

TEST(HostileRequest, aBodyAtItsLimitIsServedAndAByteMoreIsNot) {
  knobs.maximumBodyBytes = 1000;
  start();
  client->send(chunked("200\r\n" + std::string(512, 'x') + "\r\n1e8\r\n" + std::string(488, 'x') +
                       "\r\n0\r\n\r\n"));
  until([this] { return client->has("served"); });
  client->send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n" +
               std::string(1000, 'x'));
  until([this] { return requests.size() == 2; });
  requests.clear();
  client->send(chunked("200\r\n" + std::string(512, 'x') + "\r\n1e9\r\n"));
  untilFault(ProtocolFault::BodyTooLarge);
}

// The line is presented again with each read; the chunk must not count each time.
TEST(HostileRequest, anExtensionWithoutItsClosingQuoteIsMalformed) {
  knobs.maximumBodyBytes = 1000;
  start();
  client->send(chunked("64;e=\"1\r\n"));
  CHECK_COMPARE(sendUntilFault("0123456789", 64 * 1024), <, 2 * kHeadLimit);
  untilFault(ProtocolFault::Malformed);
}
