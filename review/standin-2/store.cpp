#include "store.h"

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <thread>

namespace review {
namespace {

constexpr Milliseconds kIdleTime{60000};
constexpr Milliseconds kAppendTime{4};  ///< `append_ms` of the settings.
constexpr std::size_t kItemsOfPage = 500;
constexpr std::size_t kBytesPerKilobyte = 1024;
constexpr std::size_t kDefaultReadKilobytes = 1024;

std::string bigEndian(std::uint64_t value, int bytes) {
  std::string text;
  for (int index = bytes - 1; index >= 0; --index) {
    text.push_back(static_cast<char>((value >> (8 * index)) & 0xffU));
  }
  return text;
}

std::uint64_t numberOf(const std::string& bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes) {
    value = (value << 8U) | static_cast<std::uint8_t>(byte);
  }
  return value;
}

std::string keyOf(const std::string& record) {
  return record.empty() ? std::string() : record.substr(1, static_cast<std::uint8_t>(record[0]));
}

std::string valueOf(const std::string& record) {
  return record.empty() ? std::string() : record.substr(1 + keyOf(record).size());
}

std::string base64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    const std::string group = bytes.substr(at, 3);
    const std::uint64_t bits = numberOf(group) << (8 * (3 - group.size()));
    for (std::size_t digit = 0; digit < 4; ++digit) {
      text.push_back(digit <= group.size() ? kDigits[(bits >> (18 - 6 * digit)) & 63U] : '=');
    }
  }
  return text;
}

std::string percentDecoded(const std::string& text) {
  std::string decoded;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size()) {
      decoded.push_back(
          static_cast<char>(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16)));
      at += 2;
    } else {
      decoded.push_back(text[at]);
    }
  }
  return decoded;
}

std::string jsonText(const std::string& text) {
  std::string quoted = "\"";
  for (const char character : text) {
    if (character == '"' || character == '\\') {
      quoted.push_back('\\');
    }
    quoted.push_back(character);
  }
  return quoted + "\"";
}

std::string jsonAnswer(const std::string& body) {
  return responseText(200, "Content-Type: application/json\r\n", body);
}

}  // namespace

Store::Store(const std::string& ip)
    : server_(ip, [this](Connection& connection) { serve(connection); }) {}

void Store::put(const std::string& topic, const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  logs_[{topic, "0"}].push_back(std::string(1, static_cast<char>(key.size())) + key + value);
  appended_.notify_all();
}

std::map<std::string, std::string> Store::newest(const std::string& topic) {
  const std::lock_guard lock(mutex_);
  std::map<std::string, std::string> values;
  for (const std::string& record : logs_[{topic, "0"}]) {
    values[keyOf(record)] = valueOf(record);
  }
  return values;
}

std::vector<std::string> Store::newestOf(const std::string& topicPrefix,
                                         const std::vector<std::string>& texts) {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> found;
  for (const auto& [partition, log] : logs_) {
    if (partition.first.rfind(topicPrefix, 0) != 0) {
      continue;
    }
    const auto textIn = [&texts](const std::string& record) {
      return std::find_if(texts.begin(), texts.end(), [&record](const std::string& text) {
        return record.find(text) != std::string::npos;
      });
    };
    const auto newest = std::find_if(log.rbegin(), log.rend(), [&](const std::string& record) {
      return textIn(record) != texts.end();
    });
    if (newest != log.rend()) {
      found.push_back(*textIn(*newest));
    }
  }
  return found;
}

void Store::serve(Connection& connection) {
  while (const std::optional<Request> request = readRequest(connection, kIdleTime)) {
    if (!connection.write(answer(*request))) {
      return;
    }
  }
}

std::string Store::answer(const Request& request) {
  const std::string path = request.path();
  if (path == "/v1/log-append") {
    std::this_thread::sleep_for(kAppendTime);
  }
  std::unique_lock lock(mutex_);
  Log& log = logs_[{request.query("topic"), request.query("part")}];
  if (path == "/v1/log-append") {
    return append(request, log);
  }
  if (path == "/v1/log-read") {
    return read(request, log, lock);
  }
  if (path == "/v1/log-newest") {
    return listNewest(request, log);
  }
  return responseText(404, "", "");
}

std::string Store::append(const Request& request, Log& log) {
  if (request.query("topic") == "keyed.servers") {
    return responseText(403, "", "");
  }
  const std::size_t first = log.size();
  std::size_t at = 0;
  while (at + 4 <= request.body.size()) {
    const std::size_t length = numberOf(request.body.substr(at, 4));
    log.push_back(request.body.substr(at + 4, length));
    at += 4 + length;
  }
  appended_.notify_all();
  return jsonAnswer("{\"offset\":" + std::to_string(first) +
                    ",\"end\":" + std::to_string(log.size()) + "}");
}

std::string Store::read(const Request& request, Log& log, std::unique_lock<std::mutex>& lock) {
  const std::size_t start = std::strtoull(request.query("rangeStart").c_str(), nullptr, 10);
  const Milliseconds wait(std::atoi(request.query("waitMs").c_str()));
  appended_.wait_for(lock, wait, [&log, start] { return log.size() > start; });
  const std::size_t kilobytes = std::strtoull(request.query("max_kb").c_str(), nullptr, 10);
  const std::size_t most = (kilobytes == 0 ? kDefaultReadKilobytes : kilobytes) * kBytesPerKilobyte;
  std::string body = bigEndian(log.size(), 8) + bigEndian(0, 8);
  for (std::size_t at = start; at < log.size(); ++at) {
    const bool isFirst = at == start;
    if (!isFirst && body.size() + log[at].size() > most) {
      break;
    }
    body += bigEndian(log[at].size(), 4) + log[at];
  }
  return responseText(200, "Content-Type: application/octet-stream\r\n", body);
}

std::string Store::listNewest(const Request& request, const Log& log) {
  std::map<std::string, std::pair<std::string, std::size_t>> values;
  for (std::size_t offset = 0; offset < log.size(); ++offset) {
    values[keyOf(log[offset])] = {valueOf(log[offset]), offset};
  }
  const std::string after = percentDecoded(request.query("after"));
  std::string items;
  std::size_t listed = 0;
  bool hasMore = false;
  for (const auto& [key, value] : values) {
    if (value.first.empty() || (!after.empty() && key <= after)) {
      continue;
    }
    if (listed == kItemsOfPage) {
      hasMore = true;
      break;
    }
    items += (listed == 0 ? "" : ",") + std::string("{\"privateKey\":") + jsonText(key) +
             ",\"value\":\"" + base64(value.first) +
             "\",\"offset\":" + std::to_string(value.second) + "}";
    ++listed;
  }
  return jsonAnswer("{\"items\":[" + items + "],\"hasMore\":" + (hasMore ? "true" : "false") +
                    ",\"end\":" + std::to_string(log.size()) + "}");
}

}  // namespace review
