/// \file Serialization of response heads and chunks.
#pragma once

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <string>
#include <string_view>

namespace gorsetrail::http {

/// \return the status line and headers in wire format, including the final blank line.
std::string serializeHead(boost::beast::http::response<boost::beast::http::empty_body>& head);

/// Appends `bytes` as one chunk of the chunked transfer encoding.
void appendChunk(std::string& out, std::string_view bytes);

}  // namespace gorsetrail::http
