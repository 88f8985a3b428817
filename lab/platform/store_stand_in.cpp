#include "lab/platform/store_stand_in.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string_view>

#include "base/base64.h"
#include "logstore/log_store.h"
#include "platform/names.h"

namespace gorsetrail::lab {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kGone = 410;
constexpr unsigned kUnavailable = 503;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kOffsetBytes = 8;
constexpr unsigned kBitsPerByte = 8;

std::string queryValue(const std::string& target, const std::string& name) {
  const std::string key = name + "=";
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    if (target.compare(at + 1, key.size(), key) == 0) {
      const std::size_t begin = at + 1 + key.size();
      return target.substr(begin, target.find('&', begin) - begin);
    }
    at = target.find('&', at + 1);
  }
  return {};
}

void appendBigEndian(std::string& out, std::uint64_t value, std::size_t bytes) {
  for (std::size_t index = bytes; index > 0; --index) {
    out.push_back(static_cast<char>((value >> (kBitsPerByte * (index - 1))) & 0xffU));
  }
}

std::uint64_t bigEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes) {
    value = (value << kBitsPerByte) | static_cast<std::uint8_t>(byte);
  }
  return value;
}

}  // namespace

StoreStandIn::StoreStandIn(boost::asio::io_context& context) {
  http::HttpServerOptions options;
  options.listenAddress = "127.0.0.1:0";
  options.onRequest = [this](const http::ServerRequest& request, http::ResponseWriterPtr writer) {
    onRequest(request, std::move(writer));
  };
  options.onFault = [](http::ProtocolFault) { return http::WholeResponse{400, {}, {}}; };
  server_ = std::move(valueOf(*std::make_unique<Result<http::HttpServerPtr>>(
      http::makeHttpServer(context, std::move(options)))));
}

std::string StoreStandIn::address() const {
  return "127.0.0.1:" + std::to_string(server_->listeningPort());
}

void StoreStandIn::put(const std::string& topic, const std::string& key, const std::string& value) {
  logs_[{topic, "0"}].push_back(logstore::encodeKeyedRecord(key, value));
}

void StoreStandIn::dropHistory(const std::string& topic) {
  firstKept_[topic] = logs_[{topic, "0"}].size();
}

std::size_t StoreStandIn::records(const std::string& topic) const {
  const auto found = logs_.find({topic, "0"});
  return found == logs_.end() ? 0 : found->second.size();
}

void StoreStandIn::onRequest(const http::ServerRequest& request, http::ResponseWriterPtr writer) {
  ++calls;
  if (trouble == StoreTrouble::Busy) {
    writer->sendWhole({kUnavailable, {}, {}});
    return;
  }
  http::WholeResponse response = answer(request);
  if (trouble == StoreTrouble::LostAnswer) {
    return;  // The writer goes, and the connection with it.
  }
  writer->sendWhole(std::move(response));
}

http::WholeResponse StoreStandIn::answer(const http::ServerRequest& request) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  Log& log = logs_[{queryValue(request.target, "topic"), queryValue(request.target, "part")}];
  if (path == platform::path::kAppend) {
    return append(log, request.body);
  }
  if (path == platform::path::kRead) {
    const std::string start = queryValue(request.target, "rangeStart");
    const auto kept = firstKept_.find(queryValue(request.target, "topic"));
    return read(log, std::strtoull(start.c_str(), nullptr, 10),
                kept == firstKept_.end() ? 0 : kept->second);
  }
  if (path == platform::path::kNewest && queryValue(request.target, "topic") == refusedListing) {
    return {kUnavailable, {}, {}};
  }
  if (path == platform::path::kNewest) {
    return newest(log);
  }
  return {kNotFound, {}, {}};
}

http::WholeResponse StoreStandIn::append(Log& log, const std::string& body) {
  const std::size_t first = log.size();
  std::string_view rest = body;
  while (rest.size() >= kLengthBytes) {
    const std::uint64_t length = bigEndian(rest.substr(0, kLengthBytes));
    log.emplace_back(rest.substr(kLengthBytes, length));
    rest.remove_prefix(std::min<std::size_t>(rest.size(), kLengthBytes + length));
  }
  return {kOk, {}, nlohmann::json{{"offset", first}, {"end", log.size()}}.dump()};
}

http::WholeResponse StoreStandIn::read(const Log& log, std::uint64_t start,
                                       std::uint64_t firstKept) {
  if (start < firstKept) {
    return {kGone, {}, nlohmann::json{{"first", firstKept}}.dump()};
  }
  std::string body;
  appendBigEndian(body, log.size(), kOffsetBytes);
  appendBigEndian(body, firstKept, kOffsetBytes);
  for (std::uint64_t at = start; at < log.size(); ++at) {
    appendBigEndian(body, log[at].size(), kLengthBytes);
    body += log[at];
  }
  return {kOk, {}, std::move(body)};
}

http::WholeResponse StoreStandIn::newest(const Log& log) {
  std::map<std::string, std::string> byKey;
  for (const std::string& record : log) {
    auto [key, value] = logstore::decodeKeyedRecord(record);
    byKey[key] = std::move(value);
  }
  nlohmann::json items = nlohmann::json::array();
  for (const auto& [key, value] : byKey) {
    if (!value.empty()) {
      items.push_back({{"privateKey", key}, {"value", encodeBase64(value)}, {"offset", 0}});
    }
  }
  return {
      kOk, {}, nlohmann::json{{"items", items}, {"hasMore", false}, {"end", log.size()}}.dump()};
}

}  // namespace gorsetrail::lab
