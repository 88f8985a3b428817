#include "http/http_client.h"

#include <boost/asio/io_context.hpp>
#include <optional>

#include "scripted_server.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::http;

namespace {

struct Ending {
  std::optional<Response> response;
  std::optional<Failure> failure;
  std::vector<std::string> parts;
  int endings = 0;

  [[nodiscard]] bool ended() const { return response || failure; }
  ResponseHandler handler(bool stream = false) {
    ResponseHandler handler;
    if (stream) {
      handler.onBody = [this](std::string_view part) { parts.emplace_back(part); };
    }
    handler.onDone = [this](Response whole) {
      response = std::move(whole);
      ++endings;
    };
    handler.onFailure = [this](Failure reason) {
      failure = std::move(reason);
      ++endings;
    };
    return handler;
  }
};

bool wholeHead(const ScriptedConnection& connection) {
  return connection.received.find("\r\n\r\n") != std::string::npos;
}

Request requestTo(const std::string& address) {
  Request request;
  request.address = address;
  return request;
}

const std::string kHello = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Kind: greeting\r\n\r\nhello";

/// Sends a fixed response after each complete request head.
ScriptedServer::OnBytes answerWith(std::string text) {
  return [text](ScriptedConnection& connection) {
    if (wholeHead(connection)) {
      connection.received.clear();
      connection.send(text);
    }
  };
}

}  // namespace

TEST_GROUP(HttpClient) {
  boost::asio::io_context context;
  Ending ending;

  void wait() {
    CHECK_TRUE(runUntil(context, [this] { return ending.ended(); }));
    context.poll();
    LONGS_EQUAL(1, ending.endings);
  }
};

TEST(HttpClient, CollectsACompleteResponse) {
  ScriptedServer server(context, answerWith(kHello));
  const HttpClientPtr client = makeHttpClient(context);
  client->send(requestTo(server.address()), ending.handler());
  wait();
  CHECK_TRUE(ending.response.has_value());
  LONGS_EQUAL(200, ending.response->status);
  STRCMP_EQUAL("hello", ending.response->body.c_str());
}

TEST(HttpClient, SendsMethodHeadersAndBody) {
  std::string seen;
  ScriptedServer server(context, [&](ScriptedConnection& connection) {
    if (connection.received.ends_with("{\"a\":1}")) {
      seen = connection.received;
      connection.send(kHello);
    }
  });
  const HttpClientPtr client = makeHttpClient(context);
  Request request = requestTo(server.address());
  request.method = "PUT";
  request.target = "/v1/faults?x=1";
  request.headers = {{"X-Request-Id", "abc"}};
  request.body = "{\"a\":1}";
  client->send(request, ending.handler());
  wait();
  CHECK_TRUE(seen.starts_with("PUT /v1/faults?x=1 HTTP/1.1\r\n"));
  CHECK_TRUE(seen.find("X-Request-Id: abc\r\n") != std::string::npos);
  CHECK_TRUE(seen.find("Content-Length: 7\r\n") != std::string::npos);
}

TEST(HttpClient, DeliversBodyPartsAsTheyArrive) {
  ScriptedConnection* accepted = nullptr;
  ScriptedServer server(context, [&](ScriptedConnection& connection) {
    accepted = &connection;
    connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
  });
  const HttpClientPtr client = makeHttpClient(context);
  client->send(requestTo(server.address()), ending.handler(true));
  CHECK_TRUE(runUntil(context, [&] { return !ending.parts.empty(); }));
  STRCMP_EQUAL("first", ending.parts[0].c_str());
  CHECK_FALSE(ending.ended());
  accepted->send("6\r\nsecond\r\n0\r\n\r\n");
  wait();
  STRCMP_EQUAL("second", ending.parts.back().c_str());
  CHECK_TRUE(ending.response->body.empty());
}

TEST(HttpClient, RefusedConnectionIsNotSent) {
  boost::asio::ip::tcp::acceptor closed(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const std::string address = "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
  closed.close();
  const HttpClientPtr client = makeHttpClient(context);
  client->send(requestTo(address), ending.handler());
  wait();
  CHECK_TRUE(ending.failure->stage == FailureStage::NotSent);
}

TEST(HttpClient, InvalidAddressIsNotSentAndReportedAfterSendReturns) {
  const HttpClientPtr client = makeHttpClient(context);
  client->send(requestTo("localhost"), ending.handler());
  CHECK_FALSE(ending.ended());
  wait();
  CHECK_TRUE(ending.failure->stage == FailureStage::NotSent);
}

TEST(HttpClient, HeaderInjectionIsNotSent) {
  ScriptedServer server(context, answerWith(kHello));
  const HttpClientPtr client = makeHttpClient(context);
  Request request = requestTo(server.address());
  request.headers = {{"X-Request-Id", "a\r\nX-Evil: b"}};
  client->send(request, ending.handler());
  wait();
  CHECK_TRUE(ending.failure->stage == FailureStage::NotSent);
  LONGS_EQUAL(0, server.connections.size());
}

TEST(HttpClient, CloseAfterTheRequestIsBroken) {
  ScriptedServer server(context, [](ScriptedConnection& connection) { connection.close(); });
  const HttpClientPtr client = makeHttpClient(context);
  client->send(requestTo(server.address()), ending.handler());
  wait();
  CHECK_TRUE(ending.failure->stage == FailureStage::Broken);
}

TEST(HttpClient, CloseWithinTheBodyIsBroken) {
  ScriptedServer server(context, [](ScriptedConnection& connection) {
    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    connection.close();
  });
  const HttpClientPtr client = makeHttpClient(context);
  client->send(requestTo(server.address()), ending.handler());
  wait();
  CHECK_TRUE(ending.failure->stage == FailureStage::Broken);
}

TEST(HttpClient, MalformedResponseIsBroken) {
  ScriptedServer server(context, answerWith("SMTP ready\r\n\r\n"));
  const HttpClientPtr client = makeHttpClient(context);
  client->send(requestTo(server.address()), ending.handler());
  wait();
  CHECK_TRUE(ending.failure->stage == FailureStage::Broken);
}

// Guards against passing on a response that HTTP does not have.
TEST(HttpClient, StatusOutsideTheProtocolIsBroken) {
  for (const char* const status : {"000", "099", "600", "999"}) {
    ending = {};
    ScriptedServer server(
        context, answerWith(std::string("HTTP/1.1 ") + status + " X\r\nContent-Length: 0\r\n\r\n"));
    const HttpClientPtr client = makeHttpClient(context);
    client->send(requestTo(server.address()), ending.handler());
    wait();
    CHECK_TRUE(ending.failure.has_value());
    CHECK(ending.failure && ending.failure->stage == FailureStage::Broken);
  }
}

TEST(HttpClient, OversizedHeadIsBroken) {
  ScriptedServer server(
      context,
      answerWith("HTTP/1.1 200 OK\r\nX-Long: " + std::string(64 * 1024, 'a') + "\r\n\r\n"));
  const HttpClientPtr client = makeHttpClient(context);
  client->send(requestTo(server.address()), ending.handler());
  wait();
  CHECK_TRUE(ending.failure->stage == FailureStage::Broken);
}

TEST(HttpClient, TimeLimitAfterTheRequestIsBroken) {
  ScriptedServer server(context, [](ScriptedConnection&) {});
  const HttpClientPtr client = makeHttpClient(context);
  Request request = requestTo(server.address());
  request.timeLimit = milliseconds(20);
  client->send(request, ending.handler());
  wait();
  CHECK_TRUE(ending.failure->stage == FailureStage::Broken);
}

TEST(HttpClient, CancelClosesTheConnectionWithoutCallbacks) {
  ScriptedServer server(context, [](ScriptedConnection&) {});
  const HttpClientPtr client = makeHttpClient(context);
  const RequestHandlePtr handle = client->send(requestTo(server.address()), ending.handler());
  CHECK_TRUE(runUntil(
      context, [&] { return !server.connections.empty() && wholeHead(*server.connections[0]); }));
  handle->cancel();
  CHECK_TRUE(runUntil(context, [&] { return server.connections[0]->closedByPeer; }));
  LONGS_EQUAL(0, ending.endings);
}

TEST(HttpClient, CancelInsideOnBodyPreventsFurtherCallbacks) {
  ScriptedServer server(context, answerWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                            "1\r\na\r\n1\r\nb\r\n0\r\n\r\n"));
  const HttpClientPtr client = makeHttpClient(context);
  RequestHandlePtr handle;
  ResponseHandler handler = ending.handler(true);
  handler.onBody = [&](std::string_view part) {
    ending.parts.emplace_back(part);
    handle->cancel();
  };
  handle = client->send(requestTo(server.address()), handler);
  CHECK_TRUE(runUntil(
      context, [&] { return !server.connections.empty() && server.connections[0]->closedByPeer; }));
  LONGS_EQUAL(1, ending.parts.size());
  LONGS_EQUAL(0, ending.endings);
}

TEST(HttpClient, ReusesAnIdleConnection) {
  ScriptedServer server(context, answerWith(kHello));
  const HttpClientPtr client = makeHttpClient(context);
  for (int round = 0; round < 3; ++round) {
    ending = Ending{};
    client->send(requestTo(server.address()), ending.handler());
    wait();
  }
  LONGS_EQUAL(1, server.connections.size());
}

TEST(HttpClient, ReportsWhetherItHasAnIdleConnection) {
  ScriptedServer server(context, answerWith(kHello));
  const HttpClientPtr client = makeHttpClient(context);
  CHECK_FALSE(client->hasIdleConnection(server.address()));
  client->send(requestTo(server.address()), ending.handler());
  CHECK_FALSE(client->hasIdleConnection(server.address()));
  wait();
  CHECK_TRUE(client->hasIdleConnection(server.address()));
}

TEST(HttpClient, ClosesIdleConnectionsToOneAddress) {
  ScriptedServer server(context, answerWith(kHello));
  ScriptedServer other(context, answerWith(kHello));
  const HttpClientPtr client = makeHttpClient(context);
  client->send(requestTo(server.address()), ending.handler());
  wait();
  ending = Ending{};
  client->send(requestTo(other.address()), ending.handler());
  wait();
  client->closeIdleConnections(server.address());
  client->closeIdleConnections("127.0.0.1:1");
  CHECK_FALSE(client->hasIdleConnection(server.address()));
  CHECK_TRUE(client->hasIdleConnection(other.address()));
}

TEST(HttpClient, SendsOnAConnectionOfTheAgeAskedForOrNotAtAll) {
  ScriptedServer server(context, answerWith(kHello));
  const HttpClientPtr client = makeHttpClient(context);
  const auto handle = client->send(requestTo(server.address()), ending.handler());
  CHECK_FALSE(handle->connectionOpenedAt().has_value());
  wait();
  const Instant openedAt = *handle->connectionOpenedAt();
  Request request = requestTo(server.address());
  request.connectionOpenedBefore = openedAt;
  ending = {};
  client->send(request, ending.handler());
  wait();
  CHECK(ending.failure->stage == FailureStage::NotSent);
  request.connectionOpenedBefore = openedAt + milliseconds(1);
  ending = {};
  const auto second = client->send(request, ending.handler());
  wait();
  CHECK_TRUE(ending.response.has_value());
  CHECK(second->connectionOpenedAt() == openedAt);
  LONGS_EQUAL(1, server.connections.size());
}

TEST(HttpClient, OpensANewConnectionWhenTheIdleOneWasClosed) {
  ScriptedServer server(context, answerWith(kHello));
  const HttpClientPtr client = makeHttpClient(context);
  client->send(requestTo(server.address()), ending.handler());
  wait();
  server.connections[0]->close();
  ending = Ending{};
  client->send(requestTo(server.address()), ending.handler());
  wait();
  CHECK_TRUE(ending.response.has_value());
  LONGS_EQUAL(2, server.connections.size());
}

TEST(HttpClient, DoesNotRetryARequestThatFailedOnAReusedConnection) {
  int requests = 0;
  ScriptedServer server(context, [&](ScriptedConnection& connection) {
    if (++requests == 1) {
      connection.received.clear();
      connection.send(kHello);
    } else {
      connection.close();
    }
  });
  const HttpClientPtr client = makeHttpClient(context);
  client->send(requestTo(server.address()), ending.handler());
  wait();
  ending = Ending{};
  client->send(requestTo(server.address()), ending.handler());
  wait();
  CHECK_TRUE(ending.failure->stage == FailureStage::Broken);
  LONGS_EQUAL(2, requests);
  LONGS_EQUAL(1, server.connections.size());
}

TEST(HttpClient, ConnectionWithUnexpectedBytesIsNotReused) {
  ScriptedServer server(context, answerWith(kHello + "stray"));
  const HttpClientPtr client = makeHttpClient(context);
  for (int round = 0; round < 2; ++round) {
    ending = Ending{};
    client->send(requestTo(server.address()), ending.handler());
    wait();
    STRCMP_EQUAL("hello", ending.response->body.c_str());
  }
  LONGS_EQUAL(2, server.connections.size());
}

TEST(HttpClient, SkipsAnInterimResponse) {
  ScriptedServer server(context, answerWith("HTTP/1.1 100 Continue\r\n\r\n" + kHello));
  const HttpClientPtr client = makeHttpClient(context);
  client->send(requestTo(server.address()), ending.handler());
  wait();
  LONGS_EQUAL(200, ending.response->status);
}

TEST(HttpClient, DestroyingTheClientCancelsRequestsWithoutCallbacks) {
  ScriptedServer server(context, [](ScriptedConnection&) {});
  HttpClientPtr client = makeHttpClient(context);
  client->send(requestTo(server.address()), ending.handler());
  CHECK_TRUE(runUntil(
      context, [&] { return !server.connections.empty() && wholeHead(*server.connections[0]); }));
  client.reset();
  CHECK_TRUE(runUntil(context, [&] { return server.connections[0]->closedByPeer; }));
  LONGS_EQUAL(0, ending.endings);
}

TEST(HttpClient, ReachabilityCheckAcceptsARefusalButNotAnInvalidAddress) {
  boost::asio::io_context context;
  const HttpClientPtr client = makeHttpClient(context);
  ScriptedServer server(context, [](ScriptedConnection&) {});
  std::vector<bool> results;
  const auto note = [&results](bool reachable) { results.push_back(reachable); };
  client->checkReachable(server.address(), milliseconds(500), note);
  client->checkReachable("127.0.0.1:1", milliseconds(500), note);
  client->checkReachable("no address", milliseconds(500), note);
  CHECK(runUntil(context, [&] { return results.size() == 3; }));
  LONGS_EQUAL(2, std::count(results.begin(), results.end(), true));
  LONGS_EQUAL(1, server.connections.size());
}
