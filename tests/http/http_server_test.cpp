#include "http/http_server.h"

#include <boost/asio/io_context.hpp>

#include "log_capture.h"
#include "raw_client.h"
#include "scripted_server.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::http;

namespace {

const std::string kGet = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

std::string faultName(ProtocolFault fault) {
  switch (fault) {
    case ProtocolFault::Malformed:
      return "malformed";
    case ProtocolFault::HeadTooLarge:
      return "head_too_large";
    case ProtocolFault::BodyTooLarge:
      return "body_too_large";
    case ProtocolFault::RequestTimedOut:
      return "timed_out";
    case ProtocolFault::MethodNotAllowed:
      return "method_not_allowed";
    case ProtocolFault::OutOfMemory:
      return "out_of_memory";
  }
  return "";
}

}  // namespace

TEST_GROUP(HttpServer) {
  boost::asio::io_context context;
  Instant now;
  std::vector<ServerRequest> requests;
  std::vector<ResponseWriterPtr> writers;
  int gone = 0;
  int flushed = 0;
  HttpServerPtr server;

  void start(HttpServerLimits knobs = {}) {
    knobs.sweepPeriod = milliseconds(1);
    HttpServerOptions options;
    options.listenAddress = "127.0.0.1:0";
    options.knobs = knobs;
    options.clock = [this] { return now; };
    options.onFault = [](ProtocolFault fault) { return WholeResponse{400, {}, faultName(fault)}; };
    options.onRequest = [this](ServerRequest request, ResponseWriterPtr writer) {
      requests.push_back(std::move(request));
      writer->observe({[this] { ++gone; }, [this] { ++flushed; }});
      writers.push_back(std::move(writer));
    };
    auto made = makeHttpServer(context, std::move(options));
    CHECK_TRUE(succeeded(made));
    server = std::move(valueOf(made));
  }

  void until(const std::function<bool()>& finished) { CHECK_TRUE(runUntil(context, finished)); }
  void untilRequests(std::size_t count) {
    until([this, count] { return requests.size() == count; });
  }
};

TEST(HttpServer, ReadsARequestAndWritesACompleteResponse) {
  start();
  RawClient client(context, server->listeningPort());
  client.startReading();
  client.send(
      "POST /b?c=d HTTP/1.1\r\nHost: x\r\nX-One: 1\r\nX-One: 2\r\nContent-Length: 3\r\n\r\nabc");
  untilRequests(1);
  STRCMP_EQUAL("POST", requests[0].method.c_str());
  STRCMP_EQUAL("/b?c=d", requests[0].target.c_str());
  STRCMP_EQUAL("abc", requests[0].body.c_str());
  LONGS_EQUAL(4, requests[0].headers.size());
  writers[0]->sendWhole({201, {{"X-Two", "2"}}, "done"});
  until([&] { return client.received.ends_with("done"); });
  CHECK_TRUE(client.received.starts_with("HTTP/1.1 201 Created\r\n"));
  CHECK_TRUE(client.has("X-Two: 2\r\n"));
  CHECK_TRUE(client.has("Content-Length: 4\r\n"));
}

TEST(HttpServer, ServesPipelinedRequestsOneAfterAnother) {
  start();
  RawClient client(context, server->listeningPort());
  client.startReading();
  client.send(kGet + kGet);
  untilRequests(1);
  writers[0]->sendWhole({200, {}, "first"});
  untilRequests(2);
  writers[1]->sendWhole({200, {}, "second"});
  until([&] { return client.has("second"); });
  CHECK_TRUE(client.received.find("first") < client.received.find("second"));
}

TEST(HttpServer, AWriterCannotAffectTheNextResponse) {
  start();
  RawClient client(context, server->listeningPort());
  client.startReading();
  client.send(kGet + kGet);
  untilRequests(1);
  writers[0]->sendWhole({200, {}, "first"});
  untilRequests(2);
  writers[0]->sendWhole({200, {}, "stale"});
  writers[0]->beginStream(200, {});
  writers[0]->write("stale");
  writers[0]->endStream();
  writers[1]->sendWhole({200, {}, "second"});
  until([&] { return client.has("second"); });
  CHECK_FALSE(client.has("stale"));
}

TEST(HttpServer, StreamsInChunks) {
  start();
  RawClient client(context, server->listeningPort());
  client.startReading();
  client.send(kGet);
  untilRequests(1);
  writers[0]->beginStream(200, {{"Content-Type", "text/event-stream"}});
  writers[0]->write("one");
  until([&] { return client.has("3\r\none\r\n"); });
  CHECK_TRUE(client.has("Transfer-Encoding: chunked"));
  writers[0]->write("two");
  writers[0]->endStream();
  until([&] { return client.has("3\r\ntwo\r\n0\r\n\r\n"); });
  until([&] { return server->counters().responses == 1; });
  LONGS_EQUAL(0, server->counters().responsesOpen);
}

// Guards against a status line that HTTP does not have.
TEST(HttpServer, AnswersBadGatewayInPlaceOfAStatusOutsideTheProtocol) {
  const LogCapture log;
  for (const unsigned status : {0U, 199U, 600U}) {
    requests.clear();
    writers.clear();
    start();
    RawClient client(context, server->listeningPort());
    client.startReading();
    client.send(kGet);
    untilRequests(1);
    writers.front()->beginStream(status, {});
    writers.front()->write("event");
    writers.front()->endStream();
    until([&] { return server->counters().responses == 1; });
    until([&] { return client.has("\r\n\r\n"); });
    STRCMP_CONTAINS("HTTP/1.1 502 ", client.received.c_str());
    CHECK_FALSE(client.has("event"));
  }
  LONGS_EQUAL(3, log.lines.size());
  STRCMP_CONTAINS("event=response_status_invalid status=0 ", log.lines.front().c_str());
}

TEST(HttpServer, AnHttp10CallerGetsAStreamWithoutChunks) {
  start();
  RawClient client(context, server->listeningPort());
  client.startReading();
  client.send("GET /a HTTP/1.0\r\n\r\n");
  untilRequests(1);
  writers[0]->beginStream(200, {});
  writers[0]->write("plain");
  writers[0]->endStream();
  until([&] { return client.closedByServer; });
  CHECK_TRUE(client.received.ends_with("\r\n\r\nplain"));
}

TEST(HttpServer, AnIncompleteBodyIsNotDelivered) {
  start();
  RawClient client(context, server->listeningPort());
  client.send("POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf");
  client.close();
  until([&] { return server->counters().requestsCut == 1; });
  LONGS_EQUAL(0, requests.size());
  LONGS_EQUAL(0, server->counters().connectionsOpen);
}

TEST(HttpServer, AnIncompleteHeadIsNotDelivered) {
  start();
  RawClient client(context, server->listeningPort());
  client.send("POST /b HT");
  client.close();
  until([&] { return server->counters().requestsCut == 1; });
  LONGS_EQUAL(0, requests.size());
}

TEST(HttpServer, RefusesAnOversizedBodyBeforeItIsSent) {
  HttpServerLimits knobs;
  knobs.maximumBodyBytes = 8;
  start(knobs);
  RawClient client(context, server->listeningPort());
  client.startReading();
  client.send("POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n");
  until([&] { return client.has("body_too_large"); });
  LONGS_EQUAL(0, requests.size());
}

TEST(HttpServer, RefusesAnOversizedChunkedBodyWithAReadableResponse) {
  HttpServerLimits knobs;
  knobs.maximumBodyBytes = 8;
  start(knobs);
  RawClient client(context, server->listeningPort());
  client.startReading();
  client.send(
      "POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\n");
  client.send("9\r\n123456789\r\n0\r\n\r\n");
  until([&] { return client.closedByServer || client.has("body_too_large"); });
  CHECK_TRUE(client.has("body_too_large"));
  LONGS_EQUAL(0, requests.size());
}

TEST(HttpServer, RefusesAnOversizedHead) {
  start();
  RawClient client(context, server->listeningPort());
  client.startReading();
  client.send("GET /a HTTP/1.1\r\nX-Long: " + std::string(20 * 1024, 'a') + "\r\n\r\n");
  until([&] { return client.has("head_too_large"); });
}

TEST(HttpServer, RefusesMalformedRequestsAndConflictingLengths) {
  start();
  const std::vector<std::string> malformed = {
      "\x16\x03\x01\x02\r\n\r\n",
      "GET /a HTTP/1.1\r\nHost: x\r\nBad Name: 1\r\n\r\n",
      std::string("GET /a HTTP/1.1\r\nX-Nul: a") + '\0' + "b\r\n\r\n",
      "POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
      "POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
  };
  for (const std::string& bytes : malformed) {
    RawClient client(context, server->listeningPort());
    client.startReading();
    client.send(bytes);
    until([&] { return client.has("malformed"); });
    client.close();
    context.poll();
  }
  LONGS_EQUAL(0, requests.size());
}

TEST(HttpServer, ASlowHeadIsTimedOut) {
  start();
  RawClient client(context, server->listeningPort());
  client.startReading();
  client.send("GET /a HTTP/1.1\r\n");
  until([&] { return server->counters().connectionsAccepted == 1; });
  for (int round = 0; round < 50; ++round) {
    context.poll();
  }
  now += seconds(11);
  until([&] { return client.has("timed_out"); });
}

TEST(HttpServer, ASlowBodyIsTimedOut) {
  start();
  RawClient client(context, server->listeningPort());
  client.startReading();
  client.send("POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\nExpect: 100-continue\r\n\r\n");
  until([&] { return client.has("100 Continue"); });
  now += seconds(31);
  until([&] { return client.has("timed_out"); });
  LONGS_EQUAL(0, requests.size());
}

TEST(HttpServer, AnIdleConnectionIsClosedAfterItsTimeLimit) {
  start();
  RawClient client(context, server->listeningPort());
  client.startReading();
  until([&] { return server->counters().connectionsOpen == 1; });
  now += seconds(76);
  until([&] { return client.closedByServer; });
}

TEST(HttpServer, DisconnectDuringAStreamIsReportedOnce) {
  start();
  RawClient client(context, server->listeningPort());
  client.startReading();
  client.send(kGet);
  untilRequests(1);
  writers[0]->beginStream(200, {});
  writers[0]->write("one");
  until([&] { return client.has("one"); });
  client.close();
  until([&] { return gone == 1; });
  writers[0]->write("two");
  writers[0]->endStream();
  writers.clear();
  context.poll();
  LONGS_EQUAL(1, gone);
  LONGS_EQUAL(1, server->counters().callersGone);
  LONGS_EQUAL(0, server->counters().responsesOpen);
}

TEST(HttpServer, DisconnectBeforeTheFirstResponseByteIsReported) {
  start();
  RawClient client(context, server->listeningPort());
  client.send(kGet);
  untilRequests(1);
  client.close();
  until([&] { return gone == 1; });
}

TEST(HttpServer, AClientThatStopsReadingIsDisconnected) {
  start();
  RawClient client(context, server->listeningPort());
  client.send(kGet);
  untilRequests(1);
  writers[0]->beginStream(200, {});
  const std::string block(1024 * 1024, 'x');
  for (int round = 0; round < 16; ++round) {
    writers[0]->write(block);
  }
  context.poll();
  CHECK_TRUE(writers[0]->bytesWaiting() > block.size());
  now += seconds(31);
  until([&] { return gone == 1; });
}

// Bytes that do not fit into the send buffer, and bytes written meanwhile, must arrive in order.
TEST(HttpServer, AStreamThatIsReadLateArrivesCompletely) {
  start();
  RawClient client(context, server->listeningPort());
  client.send("GET /a HTTP/1.0\r\nHost: x\r\n\r\n");
  untilRequests(1);
  writers[0]->beginStream(200, {});
  std::string expected;
  for (char letter = 'a'; letter <= 'p'; ++letter) {
    const std::string block(1024 * 1024, letter);
    writers[0]->write(block);
    expected += block;
    context.poll();
  }
  CHECK_TRUE(writers[0]->bytesWaiting() > 0);
  LONGS_EQUAL(0, gone);
  writers[0]->endStream();
  client.startReading();
  until([&] { return client.closedByServer; });
  CHECK_TRUE(client.received.ends_with("\r\n\r\n" + expected));
  LONGS_EQUAL(client.received.size(), server->counters().bytesWritten);
}

TEST(HttpServer, ReportsWhenAllWrittenBytesAreFlushed) {
  start();
  RawClient client(context, server->listeningPort());
  client.send(kGet);
  untilRequests(1);
  writers[0]->beginStream(200, {});
  writers[0]->write("one");
  writers[0]->write("two");
  until([&] { return flushed == 1; });
  LONGS_EQUAL(0, writers[0]->bytesWaiting());
  context.poll();
  LONGS_EQUAL(1, flushed);
}

TEST(HttpServer, DestroyingAWriterClosesTheConnection) {
  start();
  RawClient client(context, server->listeningPort());
  client.startReading();
  client.send(kGet);
  untilRequests(1);
  writers.clear();
  until([&] { return client.closedByServer; });
}

TEST(HttpServer, ConnectionsOverTheLimitAreClosed) {
  HttpServerLimits knobs;
  knobs.maximumConnections = 1;
  start(knobs);
  RawClient first(context, server->listeningPort());
  first.startReading();
  first.send(kGet);
  untilRequests(1);
  RawClient second(context, server->listeningPort());
  second.startReading();
  until([&] { return second.closedByServer; });
  LONGS_EQUAL(1, server->counters().connectionsRefused);
  LONGS_EQUAL(1, server->counters().connectionsOpen);
  writers[0]->sendWhole({200, {}, "whole"});
  until([&] { return first.has("whole"); });
}

TEST(HttpServer, AnIdleConnectionGivesWayToANewOne) {
  HttpServerLimits knobs;
  knobs.maximumConnections = 1;
  start(knobs);
  RawClient first(context, server->listeningPort());
  first.startReading();
  RawClient second(context, server->listeningPort());
  second.startReading();
  until([&] { return first.closedByServer; });
  second.send(kGet);
  untilRequests(1);
  CHECK_FALSE(second.closedByServer);
  LONGS_EQUAL(0, server->counters().connectionsRefused);
  LONGS_EQUAL(1, server->counters().connectionsOpen);
}

TEST(HttpServer, DrainClosesIdleConnectionsAndTheOthersAfterTheirResponse) {
  start();
  RawClient idle(context, server->listeningPort());
  RawClient busy(context, server->listeningPort());
  idle.startReading();
  busy.startReading();
  busy.send(kGet);
  untilRequests(1);
  server->beginDrain();
  until([&] { return idle.closedByServer; });
  writers[0]->sendWhole({200, {}, "whole"});
  until([&] { return busy.closedByServer; });
  CHECK_TRUE(busy.received.ends_with("whole"));
  CHECK_TRUE(busy.has("Connection: close"));
}

TEST(HttpServer, AnUnusableListenAddressIsATypedError) {
  HttpServerOptions options;
  options.listenAddress = "nowhere:1";
  const auto made = makeHttpServer(context, std::move(options));
  CHECK_FALSE(succeeded(made));
  CHECK_TRUE(errorOf(made).kind == ErrorKind::InvalidSettings);
}

// Guards against request smuggling: two parsers could split these requests differently.
TEST(HttpServer, RefusesAmbiguousFraming) {
  const char* const ambiguous[] = {
      "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
      "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: "
      "chunked\r\n\r\n0\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: "
      "3\r\n\r\n0\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3, 5\r\n\r\nabcde",
      "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: +3\r\n\r\nabc",
      "POST /a HTTP/1.1\r\nHost : x\r\nContent-Length: 3\r\n\r\nabc",
      "POST /a HTTP/1.1\r\nHost: x\r\nX-A: b\x01"
      "c\r\n\r\n",
  };
  start();
  for (const char* const text : ambiguous) {
    RawClient client(context, server->listeningPort());
    client.startReading();
    client.send(text);
    CHECK_TRUE_TEXT(runUntil(context, [&] { return client.has("HTTP/1.1 400"); }), text);
    LONGS_EQUAL_TEXT(0, requests.size(), text);
  }
}

TEST(HttpServer, ABodyThatLooksLikeARequestIsNotParsedAsOne) {
  start();
  RawClient client(context, server->listeningPort());
  client.startReading();
  const std::string inner = "GET /inner HTTP/1.1\r\nHost: x\r\n\r\n";
  client.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(inner.size()) +
              "\r\n\r\n" + inner);
  untilRequests(1);
  STRCMP_EQUAL(inner.c_str(), requests[0].body.c_str());
  writers[0]->sendWhole({200, {}, "done"});
  until([&] { return client.received.ends_with("done"); });
  LONGS_EQUAL(1, requests.size());
}

TEST(HttpServer, AFoldedHeaderIsDeliveredAsOneLine) {
  start();
  RawClient client(context, server->listeningPort());
  client.send("GET /a HTTP/1.1\r\nHost: x\r\nX-A: b\r\n Injected: c\r\n\r\n");
  untilRequests(1);
  for (const Header& header : requests[0].headers) {
    CHECK(header.name != "Injected");
    CHECK(header.value.find_first_of("\r\n") == std::string::npos);
  }
}

// Each response is larger than the send buffer of a client that does not read.
TEST(HttpServer, LimitsTheBytesQueuedForClientsThatDoNotRead) {
  constexpr std::size_t kAnswerBytes = std::size_t{16} * 1024 * 1024;
  constexpr std::size_t kCallers = 6;
  HttpServerLimits knobs;
  knobs.maximumUntakenBytes = 2 * kAnswerBytes;
  start(knobs);
  std::vector<std::unique_ptr<RawClient>> callers;
  for (std::size_t caller = 0; caller < kCallers; ++caller) {
    callers.push_back(std::make_unique<RawClient>(context, server->listeningPort()));
    callers.back()->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  untilRequests(kCallers);
  for (const ResponseWriterPtr& writer : writers) {
    writer->sendWhole({200, {}, std::string(kAnswerBytes, 'x')});
  }
  until([this] { return server->counters().connectionsClosedForUnreadBytes > 0; });
  CHECK(server->counters().unreadBytes <= knobs.maximumUntakenBytes);
  LONGS_EQUAL(server->counters().connectionsClosedForUnreadBytes, gone);
  // A client that reads is still served.
  RawClient reader(context, server->listeningPort());
  reader.startReading();
  reader.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  untilRequests(kCallers + 1);
  writers.back()->sendWhole({200, {}, "small"});
  until([&reader] { return reader.has("small"); });
  // Disconnecting clients releases their queued bytes.
  callers.clear();
  until([this] { return server->counters().unreadBytes == 0; });
}
