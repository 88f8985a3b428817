/// \file Conversion between Beast messages and the types of `http_server.h`.
#pragma once

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>

#include "http/http_server.h"

namespace gorsetrail::http {

/// \return the status line and headers in wire format, including the final blank line.
std::string serializeHead(boost::beast::http::response<boost::beast::http::empty_body>& head);

/// Appends `bytes` as one chunk of the chunked transfer encoding.
void appendChunk(std::string& out, std::string_view bytes);

ServerRequest toServerRequest(boost::beast::http::request<boost::beast::http::string_body> message);

/// Classifies a parse error. Must not be called for a disconnect.
ProtocolFault protocolFaultOf(const boost::system::error_code& error);

/// \return whether the error is a closed or failed connection and not an invalid request.
bool isDisconnect(const boost::system::error_code& error);

}  // namespace gorsetrail::http
