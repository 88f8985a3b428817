/// \file A loopback proxy that misbehaves: it stands between two real processes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "base/time.h"

namespace gorsetrail::lab {

/// What the proxy does with connections, those that stand included.
enum class ProxyFault : std::uint8_t {
  None,
  Delay,          ///< Every piece of data waits.
  Reset,          ///< Standing connections are reset, new ones too.
  Silence,        ///< Connections come up, and no byte passes.
  CutToServer,    ///< No byte passes towards the server.
  CutFromServer,  ///< No byte passes from the server.
};

/// \return the fault's name, for reports.
const char* proxyFaultName(ProxyFault fault);

/// Passes TCP connections on to one server.
class FaultProxy {
 public:
  /// Listens on a free port of 127.0.0.1. \param context outlives this object.
  FaultProxy(boost::asio::io_context& context, std::string serverAddress);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  [[nodiscard]] std::string address() const;
  /// \param delay of every piece of data, with `ProxyFault::Delay`.
  void setFault(ProxyFault fault, Duration delay = Duration::zero());
  /// \return pieces of data that came from callers, passed on or not.
  [[nodiscard]] std::uint64_t piecesFromCallers() const { return state_->piecesFromCallers; }
  [[nodiscard]] ProxyFault fault() const { return state_->fault; }

 private:
  class Session;
  /// Shared with the sessions, which may outlive the proxy by a callback.
  struct State {
    ProxyFault fault = ProxyFault::None;
    Duration delay{};
    std::uint64_t piecesFromCallers = 0;
    std::set<std::shared_ptr<Session>> sessions;
  };

  void accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  std::string serverAddress_;
  std::shared_ptr<State> state_ = std::make_shared<State>();
};

}  // namespace gorsetrail::lab
