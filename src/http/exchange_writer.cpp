#include "http/exchange_writer.h"

#include <utility>

#include "http/server_connection.h"

namespace gorsetrail::http {
namespace {

class ExchangeWriter final : public ResponseWriter {
 public:
  ExchangeWriter(std::weak_ptr<ServerConnection> connection, std::uint64_t exchange)
      : connection_(std::move(connection)), exchange_(exchange) {}
  ExchangeWriter(const ExchangeWriter&) = delete;
  ExchangeWriter& operator=(const ExchangeWriter&) = delete;
  ~ExchangeWriter() override {
    if (const auto connection = connection_.lock()) {
      connection->onWriterDestroyed(exchange_);
    }
  }

  void observe(ResponseObserver observer) override {
    if (const auto connection = connection_.lock()) {
      connection->observe(exchange_, std::move(observer));
    }
  }
  void sendWhole(WholeResponse response) override {
    if (const auto connection = connection_.lock()) {
      connection->sendWhole(exchange_, response);
    }
  }
  void beginStream(unsigned status, const std::vector<Header>& headers) override {
    if (const auto connection = connection_.lock()) {
      connection->beginStream(exchange_, status, headers);
    }
  }
  void write(std::string_view bytes) override {
    if (const auto connection = connection_.lock()) {
      connection->write(exchange_, bytes);
    }
  }
  void endStream() override {
    if (const auto connection = connection_.lock()) {
      connection->endStream(exchange_);
    }
  }
  [[nodiscard]] std::size_t bytesWaiting() const override {
    const auto connection = connection_.lock();
    return connection ? connection->bytesWaiting(exchange_) : 0;
  }

 private:
  std::weak_ptr<ServerConnection> connection_;
  std::uint64_t exchange_;
};

}  // namespace

ResponseWriterPtr makeExchangeWriter(std::weak_ptr<ServerConnection> connection,
                                     std::uint64_t exchange) {
  return std::make_unique<ExchangeWriter>(std::move(connection), exchange);
}

}  // namespace gorsetrail::http
