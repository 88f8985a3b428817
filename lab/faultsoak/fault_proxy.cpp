#include "lab/faultsoak/fault_proxy.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "http/endpoint.h"

namespace gorsetrail::lab {
namespace {

using boost::system::error_code;
using Tcp = boost::asio::ip::tcp;

/// How often held data looks whether it may pass.
constexpr std::chrono::milliseconds kHoldPeriod{10};

void reset(Tcp::socket& socket) {
  error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

const char* proxyFaultName(ProxyFault fault) {
  switch (fault) {
    case ProxyFault::None:
      return "none";
    case ProxyFault::Delay:
      return "delay";
    case ProxyFault::Reset:
      return "reset";
    case ProxyFault::Silence:
      return "silence";
    case ProxyFault::CutToServer:
      return "cut_to_server";
    case ProxyFault::CutFromServer:
      break;
  }
  return "cut_from_server";
}

/// One connection and its counterpart.
class FaultProxy::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Tcp::socket client, std::weak_ptr<State> state)
      : client_(std::move(client)), server_(client_.get_executor()), state_(std::move(state)) {}

  void start(const Tcp::endpoint& server) {
    server_.async_connect(server, [self = shared_from_this()](const error_code& error) {
      if (error) {
        self->end();
        return;
      }
      self->read(self->toServer_);
      self->read(self->fromServer_);
    });
  }

  void resetBoth() {
    reset(client_);
    reset(server_);
  }

 private:
  /// One direction: data is read, waits as the fault says, and is written.
  struct Direction {
    Direction(Tcp::socket& from, Tcp::socket& to, ProxyFault cut)
        : from(from), to(to), cut(cut), timer(from.get_executor()) {}
    Tcp::socket& from;
    Tcp::socket& to;
    ProxyFault cut;  ///< The fault that holds this direction alone.
    boost::asio::steady_timer timer;
    std::array<char, 16384> buffer{};
    std::size_t bytes = 0;
  };

  void read(Direction& direction) {
    direction.from.async_read_some(
        boost::asio::buffer(direction.buffer),
        [self = shared_from_this(), &direction](const error_code& error, std::size_t bytes) {
          if (error) {
            self->end();
            return;
          }
          direction.bytes = bytes;
          const auto state = self->state_.lock();
          if (state && &direction == &self->toServer_) {
            ++state->piecesFromCallers;
          }
          const bool delayed = state && state->fault == ProxyFault::Delay;
          self->pass(direction, delayed ? state->delay : Duration::zero());
        });
  }

  /// Writes after the pause, or looks again later while the fault holds the data.
  void pass(Direction& direction, Duration pause) {
    direction.timer.expires_after(pause);
    direction.timer.async_wait([self = shared_from_this(), &direction](const error_code& error) {
      if (error) {
        return;
      }
      const auto state = self->state_.lock();
      const bool held =
          state && (state->fault == ProxyFault::Silence || state->fault == direction.cut);
      if (held) {
        self->pass(direction, kHoldPeriod);
      } else {
        self->write(direction);
      }
    });
  }

  void write(Direction& direction) {
    boost::asio::async_write(
        direction.to, boost::asio::buffer(direction.buffer.data(), direction.bytes),
        [self = shared_from_this(), &direction](const error_code& error, std::size_t) {
          if (error) {
            self->end();
          } else {
            self->read(direction);
          }
        });
  }

  void end() {
    error_code ignored;
    client_.close(ignored);
    server_.close(ignored);
    toServer_.timer.cancel();
    fromServer_.timer.cancel();
    if (const auto state = state_.lock()) {
      state->sessions.erase(shared_from_this());
    }
  }

  Tcp::socket client_;
  Tcp::socket server_;
  std::weak_ptr<State> state_;
  Direction toServer_{client_, server_, ProxyFault::CutToServer};
  Direction fromServer_{server_, client_, ProxyFault::CutFromServer};
};

FaultProxy::FaultProxy(boost::asio::io_context& context, std::string serverAddress)
    : acceptor_(context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
      serverAddress_(std::move(serverAddress)) {
  accept();
}

FaultProxy::~FaultProxy() {
  error_code ignored;
  acceptor_.close(ignored);
  const auto sessions = std::move(state_->sessions);
  state_->sessions.clear();
  for (const auto& session : sessions) {
    session->resetBoth();
  }
}

std::string FaultProxy::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void FaultProxy::setFault(ProxyFault fault, Duration delay) {
  state_->fault = fault;
  state_->delay = delay;
  if (fault == ProxyFault::Reset) {
    const auto sessions = state_->sessions;
    for (const auto& session : sessions) {
      session->resetBoth();
    }
  }
}

void FaultProxy::accept() {
  acceptor_.async_accept([this](const error_code& error, Tcp::socket socket) {
    if (error) {
      return;
    }
    const auto endpoint = http::parseEndpoint(serverAddress_);
    if (state_->fault == ProxyFault::Reset || !endpoint) {
      reset(socket);
    } else {
      const auto session = std::make_shared<Session>(std::move(socket), state_);
      state_->sessions.insert(session);
      session->start(*endpoint);
    }
    accept();
  });
}

}  // namespace gorsetrail::lab
