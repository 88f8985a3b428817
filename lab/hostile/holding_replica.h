/// \file Stand-in of a replica that takes bodies of any size and can hold its requests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "http/http_server.h"

namespace gorsetrail::lab {

/// What arrived with one request.
struct RunRequest {
  std::string method;
  std::string target;
  std::vector<http::Header> headers;
  std::size_t bodyBytes = 0;
  int runs = 0;
};

/// Streams two events on `/kept/` paths, and answers whole elsewhere. Keeps no body.
class HoldingReplica {
 public:
  /// Listens on a free port of 127.0.0.1. \param context outlives this object.
  HoldingReplica(boost::asio::io_context& context, std::string id);

  [[nodiscard]] std::string registration(const std::string& service) const;
  /// Holds the answers of requests on paths that contain `path`; empty: of none. Those held are
  /// answered when it changes.
  void hold(const std::string& path);

  std::map<std::string, RunRequest> requests;  ///< By request id.

 private:
  struct Held {
    std::string target;
    std::string requestId;
    http::ResponseWriterPtr writer;
  };

  void onRequest(const http::ServerRequest& request, http::ResponseWriterPtr writer);
  static void answer(const std::string& target, const std::string& requestId,
                     http::ResponseWriter& writer);

  std::string id_;
  std::string heldPath_;
  std::vector<Held> held_;
  http::HttpServerPtr server_;
};

}  // namespace gorsetrail::lab
