/// \file The response writer that the server hands out with each request.
#pragma once

#include <cstdint>
#include <memory>

#include "http/http_server.h"

namespace gorsetrail::http {

class ServerConnection;

/// \return a writer of exchange number `exchange`; it holds the connection weakly, since the user
/// may keep it for long.
ResponseWriterPtr makeExchangeWriter(std::weak_ptr<ServerConnection> connection,
                                     std::uint64_t exchange);

}  // namespace gorsetrail::http
