/// \file Stand-in of a replica on the users' platform over loopback: streams on `/stream/` paths,
/// whole answers elsewhere, with a replica's troubles.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "http/http_server.h"

namespace gorsetrail::lab {

/// What a replica does with requests.
enum class ReplicaTrouble : std::uint8_t {
  None,
  Full,        ///< It promises that it did not run them.
  LostAnswer,  ///< It runs them and closes without an answer.
  CutStream,   ///< It closes after each event but the last.
};

class ReplicaStandIn {
 public:
  static constexpr int kEventsOfStream = 3;

  /// Listens on a free port of 127.0.0.1. \param context outlives this object.
  ReplicaStandIn(boost::asio::io_context& context, std::string id);

  [[nodiscard]] std::string address() const;
  /// \return its registration as JSON.
  [[nodiscard]] std::string registration(const std::string& service, const std::string& state,
                                         const std::string& zone = "z") const;

  /// The next process under the same id and address: it knows nothing of the runs before.
  /// \param nextStartMs its start, Unix milliseconds.
  void startAgain(std::int64_t nextStartMs);

  ReplicaTrouble trouble = ReplicaTrouble::None;
  /// Start of its process in Unix milliseconds; unset: it does not tell it.
  std::optional<std::int64_t> startedAtMs;
  std::map<std::string, int> runs;                         ///< By request id.
  std::map<std::string, std::string> bodies;               ///< By request id.
  std::map<std::string, std::vector<http::Header>> heads;  ///< As they came, by request id.

 private:
  void onRequest(const http::ServerRequest& request, http::ResponseWriterPtr writer);
  void stream(const http::ServerRequest& request, http::ResponseWriterPtr writer) const;

  std::string id_;
  http::HttpServerPtr server_;
};

}  // namespace gorsetrail::lab
