/// \file Clients that send what no sound client sends, and hold on to their connections.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gorsetrail::lab {

/// What one hostile connection sends.
struct HostileScript {
  std::string head;
  std::string piece;              ///< Sent again and again behind the head.
  std::size_t bytesOfPieces = 0;  ///< Of all pieces together; the last one may be cut short.
  std::string ending;             ///< Empty: the request stays unfinished, and the connection open.
  bool readsAnswers = true;       ///< Otherwise the answers stay in the kernel.
  unsigned returns = 0;           ///< How often the client connects again once it is cut off.
};

/// Counts over all connections of a crowd.
struct CrowdCounts {
  std::uint64_t connected = 0;
  std::uint64_t bytesSent = 0;
  std::uint64_t cutOff = 0;                   ///< Connections that the server closed or refused.
  std::map<unsigned, std::uint64_t> answers;  ///< By the status of the first answer.
};

/// A number of hostile connections to one address. Runs on the thread of its context.
class HostileCrowd {
 public:
  /// \param context outlives this object.
  HostileCrowd(boost::asio::io_context& context, std::string address);
  ~HostileCrowd();
  HostileCrowd(const HostileCrowd&) = delete;
  HostileCrowd& operator=(const HostileCrowd&) = delete;

  /// Opens `connections` more.
  void join(std::size_t connections, const HostileScript& script);
  /// \return whether no client has bytes left that the kernel would take.
  [[nodiscard]] bool hasSentAll() const;
  [[nodiscard]] const CrowdCounts& counts() const { return *counts_; }

 private:
  class Client;

  boost::asio::io_context& context_;
  std::string address_;
  std::shared_ptr<CrowdCounts> counts_;
  std::vector<std::shared_ptr<Client>> clients_;
};

/// \return the head of a request whose body comes in chunks, up to and with the blank line.
[[nodiscard]] std::string chunkedHead(const std::string& path, const std::string& requestId);
/// \return the head of a request that announces a body of that length.
[[nodiscard]] std::string announcedHead(const std::string& path, const std::string& requestId,
                                        std::size_t bodyBytes);
/// \return `bytes` as one chunk.
[[nodiscard]] std::string chunkOf(const std::string& bytes);

}  // namespace gorsetrail::lab
