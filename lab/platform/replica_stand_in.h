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
  Mute,        ///< It runs them and says nothing, as after a loss of its machine's power.
};

class ReplicaStandIn {
 public:
  static constexpr int kEventsOfStream = 3;

  /// \param context outlives this object.
  /// \param listenAddress at its default, a free port of 127.0.0.1.
  ReplicaStandIn(boost::asio::io_context& context, std::string id,
                 const std::string& listenAddress = "127.0.0.1:0");

  [[nodiscard]] std::string address() const;
  [[nodiscard]] std::uint64_t openConnections() const {
    return server_->counters().connectionsOpen;
  }
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
  std::vector<http::ResponseWriterPtr> muteWriters_;  ///< Of requests that get no answer.
  http::HttpServerPtr server_;
};

}  // namespace gorsetrail::lab
