/// \file Between Beast's messages and the server's own types; for the I/O code of this folder.
#pragma once

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>

#include "http/http_server.h"

namespace gorsetrail::http {

/// \return the head as it goes over the wire, blank line included.
std::string textOfHead(boost::beast::http::response<boost::beast::http::empty_body>& head);

/// Appends `bytes` as one chunk of a chunked body.
void appendChunk(std::string& out, std::string_view bytes);

ServerRequest toServerRequest(boost::beast::http::request<boost::beast::http::string_body> message);

/// \return what was wrong with a request that came and could not be read.
ProtocolFault faultOf(const boost::system::error_code& error);

/// \return whether the caller closed or the connection broke, as against a wrong request.
bool isCut(const boost::system::error_code& error);

}  // namespace gorsetrail::http
