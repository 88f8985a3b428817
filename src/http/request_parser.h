/// \file Incremental parser of one request. Beast splits the bytes; this class collects them.
#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "http/http_server.h"

namespace gorsetrail::http {

/// Size limits of one request.
struct RequestParserLimits {
  std::uint32_t maximumHeadBytes = 16 * 1024;
  std::uint64_t maximumBodyBytes = std::uint64_t{1024} * 1024;
};

/// Parses one request from bytes that arrive in any pieces.
///
/// Trailers are dropped: they arrive behind the checks of the head, and merged into the headers
/// they could change which tenant, budget or length a request has (RFC 9110, section 6.5). The part
/// of a request that is not parsed yet is at most as long as the limit of the head: a chunk's size
/// line with its extension, and the trailers, are held until their end has arrived.
class RequestParser final : public boost::beast::http::basic_parser<true> {
 public:
  explicit RequestParser(RequestParserLimits limits);

  /// Takes bytes of the request. Consumes more than those of the head only once `readBody` was
  /// called. Must not be called after a fault, nor after the end.
  /// \return the number of bytes consumed; the others have to be presented again with those that
  /// follow.
  std::size_t consume(std::string_view bytes);
  /// Lets `consume` go on behind the head.
  void readBody() { eager(true); }

  /// Asks before the request takes more memory.
  /// \param mayHold returns whether the request may hold that many bytes in all; if not, the
  /// request cannot be read.
  void limitMemory(std::function<bool(std::size_t bytes)> mayHold) {
    mayHold_ = std::move(mayHold);
  }
  /// Takes the memory for a body of that size.
  /// \return whether there was room; otherwise `fault` is set.
  bool reserveBody(std::uint64_t bytes);
  /// \return the memory that the request takes.
  [[nodiscard]] std::size_t heldBytes() const;

  /// \return why the request cannot be read; empty while it can.
  [[nodiscard]] std::optional<ProtocolFault> fault() const { return fault_; }
  /// \return the body's length, if the head announces one.
  [[nodiscard]] std::optional<std::uint64_t> announcedBodyBytes() const;
  /// \return whether the client waits for an interim response before it sends the body.
  [[nodiscard]] bool expectsContinue() const;
  [[nodiscard]] bool isHttp11() const { return version_ >= kHttpVersion11; }
  /// \return what was read of the request.
  [[nodiscard]] const ServerRequest& request() const { return request_; }
  /// \return the request, which must be complete.
  [[nodiscard]] ServerRequest release() { return std::move(request_); }

 private:
  using Verb = boost::beast::http::verb;
  using Field = boost::beast::http::field;
  using Text = boost::beast::string_view;
  using ErrorCode = boost::beast::error_code;
  static constexpr int kHttpVersion11 = 11;

  void on_request_impl(Verb method, Text methodText, Text target, int version,
                       ErrorCode& error) override;
  void on_response_impl(int status, Text reason, int version, ErrorCode& error) override;
  void on_field_impl(Field field, Text name, Text value, ErrorCode& error) override;
  void on_header_impl(ErrorCode& error) override;
  void on_body_init_impl(const boost::optional<std::uint64_t>& length, ErrorCode& error) override;
  std::size_t on_body_impl(Text body, ErrorCode& error) override;
  void on_chunk_header_impl(std::uint64_t size, Text extensions, ErrorCode& error) override;
  std::size_t on_chunk_body_impl(std::uint64_t remaining, Text body, ErrorCode& error) override;
  void on_finish_impl(ErrorCode& error) override;

  void noteFault(const ErrorCode& error);
  void refuseLongerThanHead(std::size_t bytes, ErrorCode& error) const;
  /// \param more bytes of the body that are about to come.
  void refuseLongBody(std::uint64_t more, ErrorCode& error) const;
  /// \return whether the body could be given that capacity.
  bool growBody(std::size_t capacity);
  /// \return the first value of a header; empty if there is none.
  [[nodiscard]] std::string_view headerOf(std::string_view name) const;

  RequestParserLimits limits_;
  ServerRequest request_;
  std::function<bool(std::size_t)> mayHold_;
  std::size_t headBytes_ = 0;  ///< Consumed so far.
  std::size_t trailerBytes_ = 0;
  int version_ = kHttpVersion11;
  std::optional<ProtocolFault> fault_;
};

}  // namespace gorsetrail::http
