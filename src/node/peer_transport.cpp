#include "node/peer_transport.h"

#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "base/log.h"
#include "http/endpoint.h"
#include "node/incoming_link.h"
#include "node/outgoing_link.h"
#include "node/peer_transport_shared.h"
#include "wire/codec.h"

namespace gorsetrail::node {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Pause after a failed accept: out of descriptors, the next would fail at once as well.
constexpr Duration kAcceptPause = milliseconds(100);

/// Port 0, which no peer can be reached at, means any free port here.
std::optional<tcp::endpoint> listenEndpointOf(const std::string& address) {
  if (!address.ends_with(":0")) {
    return http::parseEndpoint(address);
  }
  std::optional<tcp::endpoint> endpoint =
      http::parseEndpoint(address.substr(0, address.size() - 1) + "1");
  if (endpoint) {
    endpoint->port(0);
  }
  return endpoint;
}

/// Takes connections of members and forgets those that have fallen silent.
class Listener : public std::enable_shared_from_this<Listener> {
 public:
  explicit Listener(TransportSharedPtr shared)
      : shared_(std::move(shared)),
        acceptor_(shared_->context),
        pause_(shared_->context),
        sweep_(shared_->context) {}

  /// \return what failed, or nothing.
  error_code open(const tcp::endpoint& endpoint) {
    error_code error;
    acceptor_.open(endpoint.protocol(), error);
    if (!error) {
      acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
      acceptor_.bind(endpoint, error);
    }
    if (!error) {
      acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    return error;
  }

  void start() {
    accept();
    scheduleSweep();
  }

  [[nodiscard]] std::uint16_t port() const {
    error_code ignored;
    return acceptor_.local_endpoint(ignored).port();
  }

  void stop() {
    error_code ignored;
    acceptor_.close(ignored);
    pause_.cancel();
    sweep_.cancel();
    for (const IncomingLinkPtr& link : links_) {
      link->stop();
    }
    links_.clear();
    shared_->counters.linksIncoming = 0;
  }

 private:
  void accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](const error_code& error, tcp::socket socket) {
          if (self->shared_->stopped) {
            return;
          }
          if (error) {
            self->acceptAfterPause();
            return;
          }
          self->take(std::move(socket));
          self->accept();
        });
  }

  void acceptAfterPause() {
    pause_.expires_after(kAcceptPause);
    pause_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error && !self->shared_->stopped) {
        self->accept();
      }
    });
  }

  void take(tcp::socket socket) {
    if (links_.size() >= shared_->options.knobs.maximumIncomingLinks) {
      ++shared_->counters.linksRefused;
      return;
    }
    ++shared_->counters.linksAccepted;
    const auto link = std::make_shared<IncomingLink>(
        shared_, std::move(socket), [weak = weak_from_this()](const IncomingLinkPtr& closed) {
          if (const auto self = weak.lock()) {
            self->forget(closed);
          }
        });
    links_.insert(link);
    shared_->counters.linksIncoming = links_.size();
    link->start();
  }

  void forget(const IncomingLinkPtr& link) {
    links_.erase(link);
    shared_->counters.linksIncoming = links_.size();
  }

  /// A member that lost its power says no goodbye; it has closed idle links long before this.
  void scheduleSweep() {
    sweep_.expires_after(shared_->options.knobs.idleTimeout);
    sweep_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error && !self->shared_->stopped) {
        self->sweepSilent();
        self->scheduleSweep();
      }
    });
  }

  void sweepSilent() {
    const Instant oldest = steadyNow() - 2 * shared_->options.knobs.idleTimeout;
    for (auto link = links_.begin(); link != links_.end();) {
      if ((*link)->lastHeard() >= oldest) {
        ++link;
        continue;
      }
      (*link)->stop();
      link = links_.erase(link);
      ++shared_->counters.linksTimedOut;
    }
    shared_->counters.linksIncoming = links_.size();
  }

  TransportSharedPtr shared_;
  tcp::acceptor acceptor_;
  asio::steady_timer pause_;
  asio::steady_timer sweep_;
  std::unordered_set<IncomingLinkPtr> links_;
};

class AsioPeerTransport : public PeerTransport {
 public:
  AsioPeerTransport(TransportSharedPtr shared, std::shared_ptr<Listener> listener)
      : shared_(std::move(shared)), listener_(std::move(listener)) {
    for (const membership::Member& member : shared_->options.members) {
      if (member.node != shared_->options.self) {
        links_.emplace(member.node, std::make_shared<OutgoingLink>(shared_, member));
      }
    }
  }
  ~AsioPeerTransport() override { AsioPeerTransport::stop(); }
  AsioPeerTransport(const AsioPeerTransport&) = delete;
  AsioPeerTransport& operator=(const AsioPeerTransport&) = delete;

  void send(NodeId to, const wire::PeerMessage& message) override {
    const auto link = links_.find(to);
    if (shared_->stopped || link == links_.end()) {
      ++shared_->counters.framesUnaddressed;
      return;
    }
    std::vector<std::uint8_t> bytes =
        wire::encodeFrame({shared_->options.self, shared_->options.incarnation, message});
    if (bytes.size() > wire::kLengthPrefixBytes + wire::kMaximumFrameBytes) {
      ++shared_->counters.framesTooLong;
      logEvent(LogLevel::Error, "peer_frame_not_sent",
               {{"to", std::uint64_t{to.value()}}, {"bytes", std::uint64_t{bytes.size()}}});
      return;
    }
    link->second->push({wire::subsystemOf(message), steadyNow(), std::move(bytes)});
  }

  [[nodiscard]] std::uint16_t listeningPort() const override { return listener_->port(); }
  [[nodiscard]] PeerTransportCounters counters() const override { return shared_->counters; }

  void stop() override {
    if (shared_->stopped) {
      return;
    }
    shared_->stopped = true;
    listener_->stop();
    for (const auto& [node, link] : links_) {
      link->stop();
    }
    shared_->counters.linksOutgoing = 0;
  }

 private:
  TransportSharedPtr shared_;
  std::shared_ptr<Listener> listener_;
  std::unordered_map<NodeId, std::shared_ptr<OutgoingLink>> links_;
};

Error unusable(const std::string& address, const std::string& reason) {
  return Error{.kind = ErrorKind::InvalidSettings,
               .field = "listen.peers",
               .reason = "cannot listen on '" + address + "': " + reason,
               .remedy = "give a free ip:port of this machine in listen.peers"};
}

}  // namespace

Result<PeerTransportPtr> makePeerTransport(asio::io_context& context, PeerTransportOptions options,
                                           PeerTransport::OnMessage onMessage) {
  const std::string address = options.listenAddress;
  const std::optional<tcp::endpoint> endpoint = listenEndpointOf(address);
  if (!endpoint) {
    return unusable(address, "not an ip:port");
  }
  const auto shared =
      std::make_shared<TransportShared>(context, std::move(options), std::move(onMessage));
  const auto listener = std::make_shared<Listener>(shared);
  if (const error_code error = listener->open(*endpoint)) {
    return unusable(address, error.message());
  }
  listener->start();
  return PeerTransportPtr(std::make_unique<AsioPeerTransport>(shared, listener));
}

}  // namespace gorsetrail::node
