/// \file Asks back ends for their load.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "bundle/bundle.h"
#include "http/http_client.h"
#include "node/core/node_core.h"

namespace gorsetrail::node {

/// Single-threaded. At most one request a back end is under way.
class LoadPoller {
 public:
  using OnReport = std::function<void(const BackendReport&)>;

  /// \param client outlives the poller.
  LoadPoller(http::HttpClient& client, OnReport onReport);
  ~LoadPoller();
  LoadPoller(const LoadPoller&) = delete;
  LoadPoller& operator=(const LoadPoller&) = delete;

  /// Asks each engine among `backends` that has not been asked in vain before. Applications have
  /// no load page; what they refuse is learned from dispatches.
  void poll(const std::vector<bundle::Backend>& backends);

 private:
  void ask(const bundle::Backend& backend);
  void report(const BackendReport& report);

  http::HttpClient& client_;
  OnReport onReport_;
  std::map<std::string, http::RequestHandlePtr> underWay_;
};

/// \return the report in the body of `GET /v1/load`; unreachable when it cannot be read.
BackendReport parseLoadReport(const std::string& backendName, const std::string& body);

}  // namespace gorsetrail::node
