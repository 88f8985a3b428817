/// \file Stand-in of the users' store over loopback: logs, keyed topics, its troubles.
///
/// Left out: groups, producers, conditional appends, trimming, rates, held reads (`waitMs` answers
/// at once).
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "http/http_server.h"

namespace gorsetrail::lab {

/// What the store does with calls.
enum class StoreTrouble : std::uint8_t {
  None,
  Busy,        ///< 503: nothing is done.
  LostAnswer,  ///< It is done, and the connection closes without an answer.
};

class StoreStandIn {
 public:
  /// Listens on a free port of 127.0.0.1. \param context outlives this object.
  explicit StoreStandIn(boost::asio::io_context& context);

  [[nodiscard]] std::string address() const;
  /// Writes the newest record of a key, as the operator and replicas do; an empty value removes it.
  void put(const std::string& topic, const std::string& key, const std::string& value);
  /// Drops the history of a topic: reads from before now say so, the newest of each key stays.
  void dropHistory(const std::string& topic);

  /// \return how many records a topic's first partition holds.
  [[nodiscard]] std::size_t records(const std::string& topic) const;

  StoreTrouble trouble = StoreTrouble::None;
  std::string refusedListing;  ///< Listings of this topic get 503.
  std::uint64_t calls = 0;

 private:
  using Log = std::vector<std::string>;

  void onRequest(const http::ServerRequest& request, http::ResponseWriterPtr writer);
  [[nodiscard]] http::WholeResponse answer(const http::ServerRequest& request);
  http::WholeResponse append(Log& log, const std::string& body);
  [[nodiscard]] static http::WholeResponse read(const Log& log, std::uint64_t start,
                                                std::uint64_t firstKept);
  [[nodiscard]] static http::WholeResponse newest(const Log& log);

  std::map<std::pair<std::string, std::string>, Log> logs_;
  std::map<std::string, std::uint64_t> firstKept_;  ///< By topic, of its first partition.
  http::HttpServerPtr server_;
};

}  // namespace gorsetrail::lab
