/// \file HTTP requests and answers as the stand-ins see them; no socket, no Beast.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gorsetrail::standin {

struct HttpHeader {
  std::string name;
  std::string value;
};

struct HttpRequest {
  std::string method;
  std::string path;   ///< Without the query.
  std::string query;  ///< Text after `?`, may be empty.
  std::vector<HttpHeader> headers;
  std::string body;

  /// \return the value of a header (names compare without case), or an empty text.
  [[nodiscard]] std::string_view header(std::string_view name) const;
  /// \return the number that a query parameter gives, or `otherwise` when absent or no number.
  [[nodiscard]] std::uint64_t queryNumber(std::string_view name, std::uint64_t otherwise) const;
  /// \return whether method and path are these.
  [[nodiscard]] bool is(std::string_view wantedMethod, std::string_view wantedPath) const;
  /// \return the rest of the path after `prefix` when the method fits and the rest is not empty,
  /// else an empty text.
  [[nodiscard]] std::string_view restOf(std::string_view wantedMethod,
                                        std::string_view prefix) const;
};

struct HttpResponse {
  unsigned status = 200;
  std::vector<HttpHeader> headers;
  std::string body;
  std::string contentType = "application/json";
};

/// \return a JSON answer.
HttpResponse jsonResponse(unsigned status, std::string body);
/// \return `{"error": {"reason", "remedy"}}`.
HttpResponse errorResponse(unsigned status, std::string_view reason, std::string_view remedy);

/// The answering side of one request. Exactly one of `respond`, `endStream` or `drop` ends it;
/// later calls do nothing. Destroying an exchange that has not ended drops its connection.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  /// Sends a whole answer.
  virtual void respond(HttpResponse response) = 0;
  /// Starts an answer of unknown length (`200`, `text/event-stream`).
  virtual void startStream(std::vector<HttpHeader> headers) = 0;
  virtual void writeStream(std::string_view text) = 0;
  virtual void endStream() = 0;
  /// Closes the connection without (the rest of) an answer.
  virtual void drop() = 0;
  /// \return whether the peer is gone; what is written goes nowhere.
  [[nodiscard]] virtual bool closed() const = 0;
};
using HttpExchangePtr = std::shared_ptr<HttpExchange>;

}  // namespace gorsetrail::standin
