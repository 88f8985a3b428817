/// \file Stand-in of a replica that answers with any bytes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace gorsetrail::lab {

/// Reads one request after another from each connection and writes what the test makes of it.
class RawReplica {
 public:
  /// \return the answer's bytes; empty: none, and the connection closes.
  using Answer =
      std::function<std::string(const std::string& target, const std::string& requestId)>;

  /// Listens on a free port of 127.0.0.1. \param context outlives this object.
  RawReplica(boost::asio::io_context& context, Answer answer);
  ~RawReplica();
  RawReplica(const RawReplica&) = delete;
  RawReplica& operator=(const RawReplica&) = delete;

  [[nodiscard]] std::string registration(const std::string& service) const;

  std::vector<std::string> requestIds;  ///< In the order of their arrival.
  /// Sent after each answer, again and again; empty: nothing. Fixed before the first request.
  std::string endless;
  std::size_t endlessBytes = 0;  ///< Sent of it.

 private:
  class Connection;
  void accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  Answer answer_;
  /// Lets connections find out that the replica is gone.
  std::shared_ptr<RawReplica*> self_;
};

}  // namespace gorsetrail::lab
