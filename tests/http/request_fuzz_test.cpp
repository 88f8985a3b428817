// Mutated streams of requests at a real server: what is delivered must not depend on how the bytes
// are divided into reads, and requests in front of a mutation are delivered as they were sent.
#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "http/http_server.h"
#include "raw_client.h"
#include "scripted_server.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::http;

namespace {

constexpr std::uint64_t kSeed = 83;
constexpr std::size_t kCases = 20000;
constexpr std::uint32_t kHeadLimit = 512;
constexpr std::uint64_t kBodyLimit = 2048;

/// \return the cases to play: more by hand, with `GORSETRAIL_FUZZ_CASES`.
std::size_t caseCount() {
  const char* const wanted = std::getenv("GORSETRAIL_FUZZ_CASES");
  return wanted == nullptr ? kCases : std::strtoull(wanted, nullptr, 10);
}

std::uint64_t caseSeed() {
  const char* const wanted = std::getenv("GORSETRAIL_FUZZ_SEED");
  return wanted == nullptr ? kSeed : std::strtoull(wanted, nullptr, 10);
}

/// What a server made of a stream of bytes.
struct Outcome {
  std::vector<std::string> requests;
  std::string fault;

  /// \return whether both readers made the same of the stream. A head that cannot become valid is
  /// malformed as soon as all of it has been read, too long if it goes on, and undecided if the
  /// stream ends before; which of these depends on the reads, but nothing of it is delivered.
  [[nodiscard]] bool agreesWith(const Outcome& other) const {
    static const std::string kOfHeads =
        std::to_string(static_cast<int>(ProtocolFault::Malformed)) +
        std::to_string(static_cast<int>(ProtocolFault::HeadTooLarge));
    const auto isOfHead = [](const std::string& text) {
      return kOfHeads.find(text) != std::string::npos;  // Also if it is empty: undecided.
    };
    return requests == other.requests &&
           (fault == other.fault || (isOfHead(fault) && isOfHead(other.fault)));
  }
  [[nodiscard]] std::string shown() const {
    return std::to_string(requests.size()) + " requests, fault '" + fault + "'";
  }
};

std::string textOf(const ServerRequest& request) {
  std::string text = request.method + " " + request.target;
  for (const Header& header : request.headers) {
    text += "|" + header.name + "=" + header.value;
  }
  return text + "||" + request.body;
}

}  // namespace

TEST_GROUP(RequestFuzz) {
  boost::asio::io_context context;
  HttpServerPtr server;
  Outcome outcome;
  RandomSource random{caseSeed()};

  void setup() override {
    HttpServerOptions options;
    options.listenAddress = "127.0.0.1:0";
    options.knobs.maximumHeadBytes = kHeadLimit;
    options.knobs.maximumBodyBytes = kBodyLimit;
    options.memory = std::make_shared<RequestMemory>(RequestMemoryLimits{});
    options.onRequest = [this](const ServerRequest& request, const ResponseWriterPtr& writer) {
      outcome.requests.push_back(textOf(request));
      writer->sendWhole({200, {}, {}});
    };
    options.onFault = [this](ProtocolFault fault) {
      outcome.fault += std::to_string(static_cast<int>(fault));
      return WholeResponse{400, {}, {}};
    };
    auto made = makeHttpServer(context, std::move(options));
    server = std::move(valueOf(made));
  }

  std::string bodyOf(std::size_t most) {
    return std::string(random.below(most + 1), static_cast<char>('a' + random.below(26)));
  }
  std::string chunked() {
    std::string text = "POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t chunk = 1 + random.below(4); chunk > 0; --chunk) {
      const std::string body = "c" + bodyOf(200);
      char size[8];
      std::snprintf(size, sizeof(size), "%zx", body.size());
      text += size + std::string(random.below(3) == 0 ? ";e=1" : "") + "\r\n" + body + "\r\n";
    }
    return text + "0\r\n" + (random.below(2) == 0 ? "X-Trailer: t\r\n" : "") + "\r\n";
  }
  std::string soundRequest() {
    switch (random.below(3)) {
      case 0:
        return "GET /g HTTP/1.1\r\nHost: x\r\nX-One: " + bodyOf(60) + "\r\n\r\n";
      case 1: {
        const std::string body = bodyOf(300);
        return "POST /l HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
      }
      default:
        return chunked();
    }
  }
  /// Changes some bytes of the stream behind `from`.
  void mutate(std::string & stream, std::size_t from) {
    static const std::string kTelling = "\r\n :;,0f9-+\t\x80" + std::string(1, '\0');
    for (std::size_t change = 1 + random.below(3); change > 0; --change) {
      const std::size_t at = from + random.below(stream.size() - from);
      const char byte = random.below(2) == 0 ? kTelling[random.below(kTelling.size())]
                                             : static_cast<char>(random.below(256));
      switch (random.below(4)) {
        case 0:
          stream[at] = byte;
          break;
        case 1:
          stream.insert(at, 1, byte);
          break;
        case 2:
          stream.erase(at, 1 + random.below(4));
          break;
        default:
          stream.insert(at, stream.substr(at, random.below(900)));
      }
      if (stream.size() <= from) {
        return;
      }
    }
  }
  /// Runs until nothing is ready. Bytes arrive over loopback as soon as they are sent.
  void runReady() {
    do {
      context.restart();
    } while (context.poll() > 0);
  }
  /// Sends the stream in pieces of up to `most` bytes, then closes, and waits for the server's end.
  Outcome play(const std::string& stream, std::size_t most) {
    outcome = {};
    const auto client = std::make_unique<RawClient>(context, server->listeningPort());
    client->startReading();
    for (std::size_t at = 0; at < stream.size() && !client->closedByServer;) {
      const std::size_t size = most == 0 ? stream.size() : 1 + random.below(most);
      try {
        client->send(stream.substr(at, size));
      } catch (const boost::system::system_error&) {
        break;  // The server has refused the stream and closed.
      }
      at += size;
      runReady();
    }
    runReady();
    client->finishSending();
    CHECK_TRUE(runUntil(context, [&] {
      return client->closedByServer && server->counters().connectionsOpen == 0;
    }));
    return outcome;
  }
};

TEST(RequestFuzz, whatIsDeliveredDoesNotDependOnTheReads) {
  std::size_t faults = 0;
  std::size_t delivered = 0;
  for (std::size_t number = 0; number < caseCount(); ++number) {
    std::string stream;
    std::size_t sound = random.below(3);
    for (std::size_t request = 0; request < sound; ++request) {
      stream += soundRequest();
    }
    const std::size_t from = stream.size();
    stream += soundRequest() + soundRequest();
    mutate(stream, from);
    const Outcome whole = play(stream, 0);
    const Outcome pieces = play(stream, 40);
    if (!whole.agreesWith(pieces)) {
      const std::string shown = "case " + std::to_string(number) + ", seed " +
                                std::to_string(caseSeed()) + ": whole " + whole.shown() +
                                "; in pieces " + pieces.shown() + "; stream: " + stream;
      FAIL(shown.c_str());
    }
    CHECK_TRUE(whole.requests.size() >= sound);
    CHECK_TRUE(whole.fault.size() <= 1);
    faults += whole.fault.size();
    delivered += whole.requests.size();
  }
  // The mutations must reach both sides of every check.
  CHECK_TRUE(faults > caseCount() / 10);
  CHECK_TRUE(delivered > caseCount());
  UT_PRINT(StringFromFormat("%d cases, %d faults, %d requests", static_cast<int>(caseCount()),
                            static_cast<int>(faults), static_cast<int>(delivered)));
}
