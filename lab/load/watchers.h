/// \file Watches nodes and back ends during and after a run, for the checker.
#pragma once

#include <boost/asio/awaitable.hpp>

#include "http/http_client.h"
#include "lab/load/load_config.h"
#include "lab/load/promise_checker.h"

namespace gorsetrail::load {

/// Polls `GET /v1/status` of every node of a site until `*stop` is set.
boost::asio::awaitable<void> watchStatus(const SiteLoad& site, Duration interval,
                                         http::HttpClient& client, PromiseChecker& checker,
                                         const bool& stop);

/// Marks an engine as leaving, counts what comes to it, and lets it serve again.
boost::asio::awaitable<void> testLeaving(LeavingTest test, http::HttpClient& client,
                                         PromiseChecker& checker);

/// Reads the runs of every application back end.
/// \return whether all of them answered.
boost::asio::awaitable<bool> countRuns(const SiteLoad& site, http::HttpClient& client,
                                       PromiseChecker& checker);

/// Waits until the engines hold no memory, at most until `deadline`, and tells the checker.
boost::asio::awaitable<void> awaitEmptyHolds(const SiteLoad& site, Instant deadline,
                                             http::HttpClient& client, PromiseChecker& checker);

}  // namespace gorsetrail::load
