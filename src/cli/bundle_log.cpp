#include "cli/bundle_log.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "base/base64.h"

namespace gorsetrail::cli {
namespace {

using nlohmann::json;

constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpCreated = 201;
constexpr std::uint32_t kRecordsPerPage = 64;
/// Bounds the read of a log that never returns an empty page.
constexpr std::uint32_t kMaximumPages = 100000;
constexpr const char* kRecordsTarget = "/v1/streams/bundle/records";

std::optional<std::uint64_t> numberAt(const json& object, const char* key) {
  if (!object.is_object() || !object.contains(key) || !object[key].is_number_unsigned()) {
    return std::nullopt;
  }
  return object[key].get<std::uint64_t>();
}

std::optional<BundleRecord> readRecord(const json& element) {
  const std::optional<std::uint64_t> offset = numberAt(element, "offset");
  if (!offset || !element.contains("data") || !element["data"].is_string()) {
    return std::nullopt;
  }
  std::optional<std::string> data = decodeBase64(element["data"].get<std::string>());
  if (!data) {
    return std::nullopt;
  }
  return BundleRecord{LogOffset(*offset), std::move(*data)};
}

}  // namespace

Error BundleLog::unusableAnswer(const std::string& reason) const {
  return Error{ErrorKind::PlatformUnavailable, address_, reason,
               "check that --log names the platform's log and that it is up, then try again"};
}

Result<http::Response> BundleLog::sendChecked(const http::Request& request) {
  Result<http::Response> response = http_.send(request);
  if (!succeeded(response)) {
    return response;
  }
  const unsigned status = valueOf(response).status;
  if (status != kHttpOk && status != kHttpCreated) {
    return unusableAnswer("the log answered with status " + std::to_string(status));
  }
  return response;
}

Result<std::vector<BundleRecord>> BundleLog::readPage() {
  http::Request request;
  request.address = address_;
  request.target = std::string(kRecordsTarget) + "?from=" + std::to_string(next_.value()) +
                   "&max=" + std::to_string(kRecordsPerPage);
  request.timeLimit = timeLimit_;
  const Result<http::Response> response = sendChecked(request);
  if (!succeeded(response)) {
    return errorOf(response);
  }
  const json page = json::parse(valueOf(response).body, nullptr, false);
  const std::optional<std::uint64_t> next = numberAt(page, "next");
  if (!next || !page.contains("records") || !page["records"].is_array()) {
    return unusableAnswer("the log's response is not a page of records");
  }
  std::vector<BundleRecord> records;
  for (const json& element : page["records"]) {
    std::optional<BundleRecord> record = readRecord(element);
    if (!record) {
      return unusableAnswer("the log's response has a malformed record");
    }
    records.push_back(std::move(*record));
  }
  if (*next < next_.value() || (!records.empty() && *next == next_.value())) {
    return unusableAnswer("the log's `next` offset does not advance");
  }
  next_ = LogOffset(*next);
  return records;
}

Result<std::vector<BundleRecord>> BundleLog::readNewRecords() {
  std::vector<BundleRecord> all;
  for (std::uint32_t page = 0; page < kMaximumPages; ++page) {
    Result<std::vector<BundleRecord>> records = readPage();
    if (!succeeded(records)) {
      return records;
    }
    if (valueOf(records).empty()) {
      return all;
    }
    for (BundleRecord& record : valueOf(records)) {
      all.push_back(std::move(record));
    }
  }
  return unusableAnswer("the log returned too many pages without reaching its end");
}

Result<LogOffset> BundleLog::append(const std::string& envelope) {
  http::Request request;
  request.method = "POST";
  request.address = address_;
  request.target = kRecordsTarget;
  request.headers = {{"Content-Type", "application/octet-stream"}};
  request.body = envelope;
  request.timeLimit = timeLimit_;
  const Result<http::Response> response = sendChecked(request);
  if (!succeeded(response)) {
    return errorOf(response);
  }
  const std::optional<std::uint64_t> offset =
      numberAt(json::parse(valueOf(response).body, nullptr, false), "offset");
  if (!offset) {
    return unusableAnswer("the log's response to the append has no offset");
  }
  return LogOffset(*offset);
}

}  // namespace gorsetrail::cli
