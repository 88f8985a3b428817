#include "lab/standin/http_server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::standin;
namespace asio = boost::asio;

// Real sockets on one context: the client writes, the server runs until there is nothing to do
// at once, the client reads. Nothing waits for a time.
TEST_GROUP(StandInHttpServer) {
  asio::io_context context;
  std::vector<HttpExchangePtr> kept;
  std::vector<HttpRequest> requests;

  std::unique_ptr<HttpListener> listen() {
    auto listener =
        listenHttp(context, "127.0.0.1:0", [this](HttpRequest request, HttpExchangePtr exchange) {
          requests.push_back(std::move(request));
          kept.push_back(std::move(exchange));
        });
    return std::move(valueOf(listener));
  }
  asio::ip::tcp::socket connect(const HttpListener& listener) {
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), listener.port()});
    return socket;
  }
  void runUntilRequests(std::size_t count) {
    while (requests.size() < count) {
      context.run_one();
    }
  }
  static std::string readUntil(asio::ip::tcp::socket & socket, const std::string& end) {
    std::string text;
    char byte = 0;
    while (!text.ends_with(end) && socket.read_some(asio::buffer(&byte, 1)) == 1) {
      text.push_back(byte);
    }
    return text;
  }
};

TEST(StandInHttpServer, KeepsTheConnectionForTheNextRequest) {
  const auto listener = listen();
  auto socket = connect(*listener);
  for (std::size_t count = 1; count <= 2; ++count) {
    asio::write(socket, asio::buffer(std::string("GET /a?from=3 HTTP/1.1\r\nHost: x\r\n\r\n")));
    runUntilRequests(count);
    kept.back()->respond(jsonResponse(200, "{\"n\":1}"));
    CHECK(readUntil(socket, "{\"n\":1}").starts_with("HTTP/1.1 200 OK\r\n"));
    context.poll();
  }
  UNSIGNED_LONGS_EQUAL(3, requests.back().queryNumber("from", 0));
}

TEST(StandInHttpServer, StreamsInChunks) {
  const auto listener = listen();
  auto socket = connect(*listener);
  asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
  runUntilRequests(1);
  kept.back()->startStream({});
  kept.back()->writeStream("hello");
  kept.back()->endStream();
  const std::string text = readUntil(socket, "\r\n0\r\n\r\n");
  CHECK(text.find("5\r\nhello\r\n") != std::string::npos);
}

TEST(StandInHttpServer, DropClosesWithoutAnAnswer) {
  const auto listener = listen();
  auto socket = connect(*listener);
  asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
  runUntilRequests(1);
  kept.clear();
  context.poll();
  char byte = 0;
  boost::system::error_code error;
  UNSIGNED_LONGS_EQUAL(0, socket.read_some(asio::buffer(&byte, 1), error));
  CHECK(error == asio::error::eof);
}

TEST(StandInHttpServer, RefusesWhatIsNoHttp) {
  const auto listener = listen();
  auto socket = connect(*listener);
  asio::write(socket, asio::buffer(std::string("GARBAGE\r\n\r\n")));
  while (socket.available() == 0) {
    context.run_one();
  }
  CHECK(readUntil(socket, "\r\n").starts_with("HTTP/1.1 400"));
  CHECK(requests.empty());
}

TEST(StandInHttpServer, TakenOrMalformedAddressIsAnError) {
  const auto listener = listen();
  const std::string taken = "127.0.0.1:" + std::to_string(listener->port());
  CHECK_FALSE(succeeded(listenHttp(context, taken, {})));
  CHECK_FALSE(succeeded(listenHttp(context, "nonsense", {})));
}
