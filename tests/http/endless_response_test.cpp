// Guards against servers that send bytes without end: the client closes the connection.
#include "http/http_client.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>

#include "scripted_server.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::http;

namespace {

/// More than any bound of the client, and its socket buffers.
constexpr std::size_t kMostBytes = std::size_t{200} * 1024 * 1024;
constexpr std::size_t kSocketBuffers = std::size_t{16} * 1024 * 1024;

/// Sends a beginning, then a piece again and again until the connection ends.
struct EndlessSender : std::enable_shared_from_this<EndlessSender> {
  EndlessSender(ScriptedConnection& connection, std::string begin, std::string part)
      : socket(connection.socket), text(std::move(begin)), piece(std::move(part)) {}

  void sendMore() {
    boost::asio::async_write(
        socket, boost::asio::buffer(text),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t bytes) {
          self->sent += bytes;
          if (error || self->sent > kMostBytes) {
            self->stopped = true;
            return;
          }
          self->text = self->piece;
          self->sendMore();
        });
  }

  boost::asio::ip::tcp::socket& socket;
  std::string text;
  std::string piece;
  std::size_t sent = 0;
  bool stopped = false;
};

std::string repeated(const std::string& part, std::size_t bytes) {
  std::string text;
  while (text.size() < bytes) {
    text += part;
  }
  return text;
}

}  // namespace

TEST_GROUP(EndlessResponse) {
  boost::asio::io_context context;
  std::optional<Failure> failure;
  std::size_t delivered = 0;
  std::shared_ptr<EndlessSender> sender;

  /// \return the bytes that the server could send until the client closed the connection.
  std::size_t bytesUntilClosed(const std::string& begin, const std::string& piece) {
    ScriptedServer server(context, [&](ScriptedConnection& connection) {
      if (!sender) {
        sender = std::make_shared<EndlessSender>(connection, begin, piece);
        sender->sendMore();
      }
    });
    const HttpClientPtr client = makeHttpClient(context);
    Request request;
    request.address = server.address();
    ResponseHandler handler;
    handler.isOwn = [](unsigned, const std::vector<Header>& headers) {
      for (const Header& header : headers) {
        if (header.name == "Other") {
          return false;
        }
      }
      return true;
    };
    handler.onBody = [this](std::string_view part) { delivered += part.size(); };
    handler.onDone = [](const Response&) { FAIL("an endless response was complete"); };
    handler.onFailure = [this](const Failure& reason) { failure = reason; };
    client->send(std::move(request), std::move(handler));
    runUntil(context, [this] { return failure.has_value(); });
    CHECK_TRUE(failure.has_value());
    CHECK(failure->stage == FailureStage::Broken);
    CHECK_TRUE(runUntil(context, [this] { return sender->stopped; }));
    CHECK_FALSE(client->hasIdleConnection(server.address()));
    return sender->sent;
  }
  void checkClosedWithin(std::size_t bytes, const std::string& begin, const std::string& piece) {
    CHECK_COMPARE(bytesUntilClosed(begin, piece), <=, bytes + kSocketBuffers);
  }
  static constexpr std::size_t kHead = std::size_t{16} * 1024;
  static constexpr std::size_t kPiece = std::size_t{64} * 1024;
  static constexpr std::size_t kSkipped = std::size_t{4} * 1024 * 1024;
};

TEST(EndlessResponse, bytesThatAreNoHttp) {
  checkClosedWithin(kHead, "x", std::string(kPiece, 'x'));
}

TEST(EndlessResponse, aStatusLine) {
  checkClosedWithin(kHead, "HTTP/1.1 200 ", std::string(kPiece, 'O'));
}

TEST(EndlessResponse, aHeaderLine) {
  checkClosedWithin(kHead, "HTTP/1.1 200 OK\r\nX: ", std::string(kPiece, 'x'));
}

TEST(EndlessResponse, headers) {
  checkClosedWithin(kHead, "HTTP/1.1 200 OK\r\n", repeated("X-More: yes\r\n", kPiece));
}

TEST(EndlessResponse, aChunkSizeLine) {
  checkClosedWithin(
      kHead, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", std::string(kPiece, 'x'));
  LONGS_EQUAL(0, delivered);
}

TEST(EndlessResponse, trailers) {
  checkClosedWithin(kHead, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                    repeated("X-More: yes\r\n", kPiece));
}

TEST(EndlessResponse, aTrailerLine) {
  checkClosedWithin(kHead, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ",
                    std::string(kPiece, 'x'));
}

TEST(EndlessResponse, interimResponses) {
  checkClosedWithin(kSkipped, "", repeated("HTTP/1.1 100 Continue\r\n\r\n", kPiece));
}

TEST(EndlessResponse, responsesToOtherRequests) {
  checkClosedWithin(
      kSkipped, "",
      repeated("HTTP/1.1 200 OK\r\nOther: 1\r\nContent-Length: 5\r\n\r\nhello", kPiece));
  LONGS_EQUAL(0, delivered);
}

TEST(EndlessResponse, theBodyOfAResponseToAnotherRequest) {
  checkClosedWithin(kSkipped, "HTTP/1.1 200 OK\r\nOther: 1\r\n\r\n", std::string(kPiece, 'x'));
  LONGS_EQUAL(0, delivered);
}

TEST(EndlessResponse, bodiesOfEachFraming) {
  constexpr std::size_t kMostBody = std::size_t{64} * 1024 * 1024;
  const std::string chunk = "10000\r\n" + std::string(kPiece, 'x') + "\r\n";
  checkClosedWithin(kMostBody, "HTTP/1.1 200 OK\r\n\r\n", std::string(kPiece, 'x'));
  sender.reset();
  failure.reset();
  checkClosedWithin(kMostBody, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk);
  sender.reset();
  failure.reset();
  checkClosedWithin(kHead, "HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n",
                    std::string(kPiece, 'x'));
}
