#include "http/request_parser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace gorsetrail::http {

namespace beast = boost::beast;

RequestParser::RequestParser(RequestParserLimits limits) : limits_(limits) {
  header_limit(limits.maximumHeadBytes);
  // Beast's own limit counts a chunk again whenever its line is presented again.
  body_limit(boost::none);
}

std::size_t RequestParser::consume(std::string_view bytes) {
  ErrorCode error;
  std::size_t used = 0;
  while (used < bytes.size() && !is_done()) {
    const bool wasInHead = !is_header_done();
    const std::size_t step =
        put(boost::asio::buffer(bytes.data() + used, bytes.size() - used), error);
    used += step;
    // Beast limits what it has not consumed yet, which is one field at a time.
    headBytes_ += wasInHead ? step : 0;
    if (headBytes_ > limits_.maximumHeadBytes && wasInHead) {
      error = beast::http::error::header_limit;
    }
    if (error || (is_header_done() && !eager())) {
      break;
    }
  }
  if (error && error != beast::http::error::need_more) {
    noteFault(error);
  } else if (error && bytes.size() - used > limits_.maximumHeadBytes) {
    // A line, or the trailers, that do not end.
    fault_ = is_header_done() ? ProtocolFault::Malformed : ProtocolFault::HeadTooLarge;
  }
  return used;
}

void RequestParser::noteFault(const ErrorCode& error) {
  if (fault_) {
    return;
  }
  if (error == beast::http::error::header_limit || error == beast::http::error::buffer_overflow) {
    fault_ = ProtocolFault::HeadTooLarge;
  } else if (error == beast::http::error::body_limit) {
    fault_ = ProtocolFault::BodyTooLarge;
  } else {
    fault_ = ProtocolFault::Malformed;
  }
}

std::optional<std::uint64_t> RequestParser::announcedBodyBytes() const {
  const auto length = content_length();
  return length ? std::optional(*length) : std::nullopt;
}

std::string_view RequestParser::headerOf(std::string_view name) const {
  const auto found =
      std::find_if(request_.headers.begin(), request_.headers.end(),
                   [&](const Header& header) { return beast::iequals(header.name, name); });
  return found == request_.headers.end() ? std::string_view() : std::string_view(found->value);
}

bool RequestParser::expectsContinue() const {
  return isHttp11() && beast::iequals(headerOf("Expect"), "100-continue");
}

void RequestParser::on_request_impl(Verb method, Text methodText, Text target, int version,
                                    ErrorCode& error) {
  if (method == Verb::connect || method == Verb::trace) {
    fault_ = ProtocolFault::MethodNotAllowed;
    error = beast::http::error::bad_method;
    return;
  }
  request_.method = std::string(methodText);
  request_.target = std::string(target);
  version_ = version;
  error = {};
}

void RequestParser::on_response_impl(int /*status*/, Text /*reason*/, int /*version*/,
                                     ErrorCode& error) {
  error = beast::http::error::bad_method;
}

void RequestParser::on_field_impl(Field /*field*/, Text name, Text value, ErrorCode& error) {
  error = {};
  if (!is_header_done()) {
    request_.headers.push_back({std::string(name), std::string(value)});
    return;
  }
  trailerBytes_ += name.size() + value.size();
  refuseLongerThanHead(trailerBytes_, error);
}

// Whether a line fits the limit must not depend on how its bytes were divided into reads.
void RequestParser::refuseLongerThanHead(std::size_t bytes, ErrorCode& error) const {
  if (bytes > limits_.maximumHeadBytes) {
    error = beast::http::error::bad_chunk_extension;
  }
}

// Beast takes a request whose last encoding is not `chunked` for one without a body: what follows
// would run as a request of its own (RFC 9112, section 6.1).
void RequestParser::on_header_impl(ErrorCode& error) {
  error = {};
  const bool isEncoded = std::any_of(
      request_.headers.begin(), request_.headers.end(),
      [](const Header& header) { return beast::iequals(header.name, "Transfer-Encoding"); });
  if (!isEncoded) {
    refuseLongBody(announcedBodyBytes().value_or(0), error);
    return;
  }
  const bool isOnlyChunked = beast::iequals(headerOf("Transfer-Encoding"), "chunked");
  if (!isHttp11() || !isOnlyChunked || !chunked()) {
    error = beast::http::error::bad_transfer_encoding;
  }
}

void RequestParser::on_body_init_impl(const boost::optional<std::uint64_t>& length,
                                      ErrorCode& error) {
  error = {};
  if (length && !reserveBody(*length)) {
    error = beast::http::error::body_limit;
  }
}

std::size_t RequestParser::on_body_impl(Text body, ErrorCode& error) {
  error = {};
  if (!reserveBody(request_.body.size() + body.size())) {
    error = beast::http::error::body_limit;
    return 0;
  }
  request_.body.append(body.data(), body.size());
  return body.size();
}

std::size_t RequestParser::heldBytes() const {
  // A header is held as text and as two strings.
  constexpr std::size_t kBytesPerHeadByte = 3;
  return headBytes_ * kBytesPerHeadByte + request_.body.capacity();
}

// The length of a chunked body is not known: it grows in steps that keep the copies few.
bool RequestParser::reserveBody(std::uint64_t bytes) {
  constexpr std::uint64_t kGrowth = 4;
  const std::size_t capacity = request_.body.capacity();
  if (bytes <= capacity) {
    return true;
  }
  const bool isLengthKnown = !chunked();
  const std::uint64_t generous = std::clamp<std::uint64_t>(
      capacity * kGrowth, bytes, std::max(bytes, limits_.maximumBodyBytes));
  const bool grew = growBody(isLengthKnown ? bytes : generous) || growBody(bytes);
  if (!grew) {
    fault_ = ProtocolFault::OutOfMemory;
  }
  return grew;
}

bool RequestParser::growBody(std::size_t capacity) {
  // The old memory is freed only after the body was copied.
  if (mayHold_ && !mayHold_(heldBytes() + capacity)) {
    return false;
  }
  request_.body.reserve(capacity);
  return !mayHold_ || mayHold_(heldBytes());
}

void RequestParser::on_chunk_header_impl(std::uint64_t size, Text extensions, ErrorCode& error) {
  error = {};
  refuseLongerThanHead(extensions.size(), error);
  refuseLongBody(size, error);
}

void RequestParser::refuseLongBody(std::uint64_t more, ErrorCode& error) const {
  const std::uint64_t received = request_.body.size();
  if (!error && more > limits_.maximumBodyBytes - received) {
    error = beast::http::error::body_limit;
  }
}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t /*remaining*/, Text body,
                                              ErrorCode& error) {
  return on_body_impl(body, error);
}

void RequestParser::on_finish_impl(ErrorCode& error) { error = {}; }

}  // namespace gorsetrail::http
