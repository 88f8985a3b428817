#include "lab/hostile/hostile_crowd.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <string_view>
#include <utility>

#include "http/endpoint.h"

namespace gorsetrail::lab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

/// Pieces are sent in blocks of about this size, so that short ones take few system calls.
constexpr std::size_t kBlockBytes = std::size_t{32} * 1024;

std::shared_ptr<const std::string> blockOf(const std::string& piece) {
  auto block = std::make_shared<std::string>();
  while (!piece.empty() && block->size() + piece.size() <= std::max(kBlockBytes, piece.size())) {
    *block += piece;
  }
  return block;
}

}  // namespace

/// One connection, and those that take its place when it is cut off.
class HostileCrowd::Client : public std::enable_shared_from_this<Client> {
 public:
  Client(asio::io_context& context, std::string address, HostileScript script,
         std::shared_ptr<const std::string> block, std::shared_ptr<CrowdCounts> counts)
      : socket_(context),
        address_(std::move(address)),
        script_(std::move(script)),
        block_(std::move(block)),
        counts_(std::move(counts)) {}

  void connect() {
    const auto endpoint = http::parseEndpoint(address_);
    if (!endpoint) {
      return;
    }
    sentOfPieces_ = 0;
    state_ = State::Sending;
    socket_.async_connect(*endpoint, [self = shared_from_this()](const error_code& error) {
      if (error) {
        self->onCutOff();
        return;
      }
      ++self->counts_->connected;
      if (self->script_.readsAnswers) {
        self->read();
      }
      self->send(self->script_.head, [](Client& client) { client.sendPieces(); });
    });
  }

  void leave() {
    state_ = State::Gone;
    error_code ignored;
    socket_.close(ignored);
  }

  [[nodiscard]] bool hasSentAll() const { return state_ != State::Sending; }

 private:
  enum class State : std::uint8_t { Sending, Holding, Gone };

  /// \param bytes must stay valid until the client is destroyed.
  void send(std::string_view bytes, std::function<void(Client&)> next) {
    asio::async_write(socket_, asio::buffer(bytes),
                      [self = shared_from_this(), next = std::move(next)](const error_code& error,
                                                                          std::size_t sent) {
                        self->counts_->bytesSent += sent;
                        if (error) {
                          self->onCutOff();
                        } else if (self->state_ == State::Sending) {
                          next(*self);
                        }
                      });
  }

  void sendPieces() {
    const std::size_t left = script_.bytesOfPieces - sentOfPieces_;
    if (left > 0 && !block_->empty()) {
      const std::string_view part = std::string_view(*block_).substr(0, left);
      sentOfPieces_ += part.size();
      send(part, [](Client& client) { client.sendPieces(); });
    } else {
      send(script_.ending, [](Client& client) { client.state_ = State::Holding; });
    }
  }

  void read() {
    socket_.async_read_some(
        asio::buffer(received_),
        [self = shared_from_this()](const error_code& error, std::size_t bytes) {
          if (error) {
            self->onCutOff();
            return;
          }
          self->noteAnswer(bytes);
          self->read();
        });
  }

  void noteAnswer(std::size_t bytes) {
    unsigned status = 0;
    const std::string text(received_.data(), bytes);
    if (!answered_ && std::sscanf(text.c_str(), "HTTP/1.1 %u", &status) == 1 && status >= 200) {
      answered_ = true;
      ++counts_->answers[status];
    }
  }

  void onCutOff() {
    if (state_ == State::Gone) {
      return;
    }
    ++counts_->cutOff;
    leave();
    if (script_.returns > 0) {
      --script_.returns;
      answered_ = false;
      connect();
    }
  }

  asio::ip::tcp::socket socket_;
  std::string address_;
  HostileScript script_;
  std::shared_ptr<const std::string> block_;
  std::shared_ptr<CrowdCounts> counts_;
  std::array<char, 1024> received_{};
  std::size_t sentOfPieces_ = 0;
  State state_ = State::Sending;
  bool answered_ = false;
};

HostileCrowd::HostileCrowd(asio::io_context& context, std::string address)
    : context_(context), address_(std::move(address)), counts_(std::make_shared<CrowdCounts>()) {}

HostileCrowd::~HostileCrowd() {
  for (const auto& client : clients_) {
    client->leave();
  }
}

void HostileCrowd::join(std::size_t connections, const HostileScript& script) {
  const auto block = blockOf(script.piece);
  for (std::size_t number = 0; number < connections; ++number) {
    clients_.push_back(std::make_shared<Client>(context_, address_, script, block, counts_));
    clients_.back()->connect();
  }
}

bool HostileCrowd::hasSentAll() const {
  return std::all_of(clients_.begin(), clients_.end(),
                     [](const auto& client) { return client->hasSentAll(); });
}

std::string chunkedHead(const std::string& path, const std::string& requestId) {
  return "POST " + path + " HTTP/1.1\r\nHost: h\r\nGorsetrail-Request-Id: " + requestId +
         "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string announcedHead(const std::string& path, const std::string& requestId,
                          std::size_t bodyBytes) {
  return "POST " + path + " HTTP/1.1\r\nHost: h\r\nGorsetrail-Request-Id: " + requestId +
         "\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

std::string chunkOf(const std::string& bytes) {
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx", bytes.size());
  return size.data() + ("\r\n" + bytes) + "\r\n";
}

}  // namespace gorsetrail::lab
