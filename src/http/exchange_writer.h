/// \file Creates the response writer that the server passes to the request handler.
#pragma once

#include <cstdint>
#include <memory>

#include "http/http_server.h"

namespace gorsetrail::http {

class ServerConnection;

/// Creates a response writer for the request with number `exchange`. The writer holds a weak
/// reference, so that a handler that keeps it does not keep the connection alive.
ResponseWriterPtr makeExchangeWriter(std::weak_ptr<ServerConnection> connection,
                                     std::uint64_t exchange);

}  // namespace gorsetrail::http
