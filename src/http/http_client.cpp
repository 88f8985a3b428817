#include "http/http_client.h"

#include <boost/asio/io_context.hpp>
#include <unordered_map>

#include "http/client_operation.h"

namespace gorsetrail::http {
namespace {

using OperationTable = std::unordered_map<ClientOperation*, std::weak_ptr<ClientOperation>>;

class PooledHttpClient final : public HttpClient {
 public:
  explicit PooledHttpClient(boost::asio::io_context& context) : context_(context) {}
  PooledHttpClient(const PooledHttpClient&) = delete;
  PooledHttpClient& operator=(const PooledHttpClient&) = delete;

  /// Requests under way are cancelled: their callbacks may refer to what goes with the client.
  ~PooledHttpClient() override {
    const OperationTable underWay = std::move(*underWay_);
    underWay_->clear();
    for (const auto& [key, operation] : underWay) {
      if (const auto locked = operation.lock()) {
        locked->cancel();
      }
    }
  }

  RequestHandlePtr send(Request request, ResponseHandler handler) override {
    const std::weak_ptr<OperationTable> table = underWay_;
    auto operation = std::make_shared<ClientOperation>(
        context_, pool_, std::move(request), std::move(handler), [table](ClientOperation* ended) {
          if (const auto locked = table.lock()) {
            locked->erase(ended);
          }
        });
    underWay_->emplace(operation.get(), operation);
    operation->start();
    return operation;
  }

 private:
  boost::asio::io_context& context_;
  std::shared_ptr<ConnectionPool> pool_ = std::make_shared<ConnectionPool>();
  std::shared_ptr<OperationTable> underWay_ = std::make_shared<OperationTable>();
};

}  // namespace

HttpClientPtr makeHttpClient(boost::asio::io_context& context) {
  return std::make_unique<PooledHttpClient>(context);
}

std::pair<Response, std::string> sendAndWait(const Request& request) {
  boost::asio::io_context context;
  const HttpClientPtr client = makeHttpClient(context);
  std::pair<Response, std::string> result;
  ResponseHandler handler;
  handler.onDone = [&result](Response response) { result.first = std::move(response); };
  handler.onFailure = [&result](const Failure& failure) { result.second = failure.reason; };
  client->send(request, std::move(handler));
  context.run();
  return result;
}

}  // namespace gorsetrail::http
