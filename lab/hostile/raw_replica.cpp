#include "lab/hostile/raw_replica.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "platform/names.h"

namespace gorsetrail::lab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

/// \return the value of a header in the text of a head; empty if there is none.
std::string headerIn(const std::string& head, const std::string& name) {
  const std::size_t at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + name.size() + 4;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

}  // namespace

/// Reads a head, then the body that it announces, then answers.
class RawReplica::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(asio::ip::tcp::socket socket, std::weak_ptr<RawReplica*> replica)
      : socket_(std::move(socket)), replica_(std::move(replica)) {}

  void readHead() {
    asio::async_read_until(socket_, asio::dynamic_buffer(input_), "\r\n\r\n",
                           [self = shared_from_this()](const error_code& error, std::size_t bytes) {
                             if (!error) {
                               self->readBody(bytes);
                             }
                           });
  }

 private:
  void readBody(std::size_t headBytes) {
    head_ = input_.substr(0, headBytes);
    const std::size_t body = std::strtoull(headerIn(head_, "Content-Length").c_str(), nullptr, 10);
    const std::size_t missing = headBytes + body - std::min(headBytes + body, input_.size());
    asio::async_read(socket_, asio::dynamic_buffer(input_), asio::transfer_exactly(missing),
                     [self = shared_from_this(), whole = headBytes + body](const error_code& error,
                                                                           std::size_t) {
                       if (!error) {
                         self->input_.erase(0, whole);
                         self->answer();
                       }
                     });
  }

  void answer() {
    const auto replica = replica_.lock();
    if (!replica) {
      return;
    }
    const std::string requestId = headerIn(head_, platform::header::kRequestId);
    (*replica)->requestIds.push_back(requestId);
    const std::size_t target = head_.find(' ') + 1;
    output_ =
        (*replica)->answer_(head_.substr(target, head_.find(' ', target) - target), requestId);
    if (output_.empty()) {
      return;
    }
    write(output_, [this] { (*replica_.lock())->endless.empty() ? readHead() : writeEndless(); });
  }

  /// Until the node closes the connection, or the replica is gone.
  void writeEndless() {
    const auto replica = replica_.lock();
    (*replica)->endlessBytes += (*replica)->endless.size();
    write((*replica)->endless, [this] { writeEndless(); });
  }

  /// Continues after the write unless it failed or the replica is gone.
  void write(const std::string& text, std::function<void()> onWritten) {
    asio::async_write(socket_, asio::buffer(text),
                      [self = shared_from_this(), onWritten = std::move(onWritten)](
                          const error_code& error, std::size_t) {
                        if (!error && !self->replica_.expired()) {
                          onWritten();
                        }
                      });
  }

  asio::ip::tcp::socket socket_;
  std::weak_ptr<RawReplica*> replica_;
  std::string input_;
  std::string head_;
  std::string output_;
};

RawReplica::RawReplica(asio::io_context& context, Answer answer)
    : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}),
      answer_(std::move(answer)),
      self_(std::make_shared<RawReplica*>(this)) {
  accept();
}

RawReplica::~RawReplica() = default;

void RawReplica::accept() {
  acceptor_.async_accept(
      [weak = std::weak_ptr(self_)](const error_code& error, asio::ip::tcp::socket socket) {
        const auto replica = weak.lock();
        if (error || !replica) {
          return;
        }
        std::make_shared<Connection>(std::move(socket), weak)->readHead();
        (*replica)->accept();
      });
}

std::string RawReplica::registration(const std::string& service) const {
  return nlohmann::json{
      {"service", service},
      {"address", "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())},
      {"zone", "z"},
      {"slots", 64},
      {"state", "ready"}}
      .dump();
}

}  // namespace gorsetrail::lab
