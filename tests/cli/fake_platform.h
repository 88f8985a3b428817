/// \file Fake log and nodes for command tests, with injectable log failures.
#pragma once

#include <cstdlib>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "base/base64.h"
#include "cli/http_exchange.h"

namespace gorsetrail::cli {

/// Implements the log's HTTP interface (docs/design/0001) with two records per page.
class FakePlatform : public HttpExchange {
 public:
  Result<http::Response> send(const http::Request& request) override {
    if (pages.contains(request.address)) {
      return pages[request.address](request);
    }
    if (request.address != "127.0.0.1:18001" || isDown) {
      return noAnswer();
    }
    return request.method == "POST" ? append(request.body) : read(request.target);
  }

  std::vector<std::string> records;
  int appends = 0;
  bool isDown = false;
  bool dropsResponse = false;  ///< Appends take effect, but the response is lost.
  bool dropsRecord = false;    ///< Appends have no effect, and no response is sent.
  bool isDownAfterAppend = false;
  std::function<void()>
      beforeAppend;  ///< Runs once before the next append, such as to simulate another operator.
  std::map<std::string, std::function<Result<http::Response>(const http::Request&)>> pages;

  static http::Response answer(unsigned status, const nlohmann::json& body) {
    http::Response response;
    response.status = status;
    response.body = body.dump();
    return response;
  }
  static Error noAnswer() {
    return Error{ErrorKind::PlatformUnavailable, "fake", "no answer", "try again"};
  }

 private:
  Result<http::Response> append(const std::string& record) {
    ++appends;
    if (beforeAppend) {
      std::exchange(beforeAppend, nullptr)();
    }
    isDown = isDownAfterAppend;
    if (!dropsRecord) {
      records.push_back(record);
    }
    if (dropsResponse || dropsRecord) {
      return noAnswer();
    }
    return answer(200, {{"offset", records.size() - 1}});
  }

  Result<http::Response> read(const std::string& target) const {
    constexpr std::size_t kPageRecords = 2;
    std::size_t next = std::strtoull(target.c_str() + target.find("from=") + 5, nullptr, 10);
    nlohmann::json list = nlohmann::json::array();
    for (; next < records.size() && list.size() < kPageRecords; ++next) {
      list.push_back({{"offset", next}, {"data", encodeBase64(records[next])}});
    }
    return answer(200, {{"records", list}, {"next", next}});
  }
};

}  // namespace gorsetrail::cli
