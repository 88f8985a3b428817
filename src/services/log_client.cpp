#include "services/log_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/base64.h"
#include "services/platform_answer.h"

namespace gorsetrail::services {
namespace {

using Json = nlohmann::json;

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusCreated = 201;
const std::string kService = "log";

std::string targetOf(const std::string& stream) { return "/v1/streams/" + stream + "/records"; }

/// \return the member as a count, or nothing when it is missing or no count.
std::optional<std::uint64_t> countOf(const Json& object, const char* name) {
  const auto member = object.find(name);
  if (member == object.end() || !member->is_number_unsigned()) {
    return std::nullopt;
  }
  return member->get<std::uint64_t>();
}

std::optional<LogRecord> readRecord(const Json& json) {
  const auto offset = json.is_object() ? countOf(json, "offset") : std::nullopt;
  if (!offset || !json.contains("data") || !json["data"].is_string()) {
    return std::nullopt;
  }
  std::optional<std::string> data = decodeBase64(json["data"].get_ref<const std::string&>());
  if (!data) {
    return std::nullopt;
  }
  return LogRecord{LogOffset(*offset), std::move(*data)};
}

Result<LogPage> readPage(const http::Response& response, LogOffset from) {
  const Json json = Json::parse(response.body, nullptr, false);
  const auto next = json.is_object() ? countOf(json, "next") : std::nullopt;
  if (response.status != kStatusOk || !next || *next < from.value() || !json.contains("records") ||
      !json["records"].is_array()) {
    return unusableAnswer(kService, "a page of records cannot be read");
  }
  LogPage page;
  page.next = LogOffset(*next);
  // Records must come in order and within the page, or the follower would skip or repeat some.
  LogOffset lowest = from;
  for (const Json& line : json["records"]) {
    std::optional<LogRecord> record = readRecord(line);
    if (!record || record->offset < lowest || record->offset >= page.next) {
      return unusableAnswer(kService, "a record cannot be read or is out of order");
    }
    lowest = record->offset.next();
    page.records.push_back(std::move(*record));
  }
  return page;
}

Result<LogOffset> readAppended(const http::Response& response) {
  const Json json = Json::parse(response.body, nullptr, false);
  const auto offset = json.is_object() ? countOf(json, "offset") : std::nullopt;
  const bool isTaken = response.status == kStatusOk || response.status == kStatusCreated;
  if (!isTaken || !offset) {
    return unusableAnswer(kService, "status " + std::to_string(response.status) +
                                        ", or no offset in the answer to an append");
  }
  return LogOffset(*offset);
}

}  // namespace

LogClient::LogClient(http::HttpClient& client, std::string address, Duration timeLimit)
    : client_(client), address_(std::move(address)), timeLimit_(timeLimit) {}

void LogClient::append(const std::string& stream, std::string record,
                       const OnAppended& onAppended) {
  if (record.size() > kMaximumRecordBytes) {
    onAppended(
        Error{.kind = ErrorKind::RequestTooLarge,
              .field = stream,
              .reason = "a record of " + std::to_string(record.size()) + " bytes",
              .remedy = "keep records under " + std::to_string(kMaximumRecordBytes) + " bytes"});
    return;
  }
  http::Request request{.method = "POST",
                        .address = address_,
                        .target = targetOf(stream),
                        .headers = {},
                        .body = std::move(record),
                        .timeLimit = timeLimit_};
  ask(client_, kService, std::move(request), [onAppended](const Result<http::Response>& answer) {
    onAppended(succeeded(answer) ? readAppended(valueOf(answer))
                                 : Result<LogOffset>(errorOf(answer)));
  });
}

void LogClient::read(const std::string& stream, LogOffset from, std::uint32_t maximum,
                     const OnPage& onPage) {
  http::Request request{.method = "GET",
                        .address = address_,
                        .target = targetOf(stream) + "?from=" + std::to_string(from.value()) +
                                  "&max=" + std::to_string(maximum),
                        .headers = {},
                        .body = {},
                        .timeLimit = timeLimit_};
  ask(client_, kService, std::move(request), [onPage, from](const Result<http::Response>& answer) {
    onPage(succeeded(answer) ? readPage(valueOf(answer), from) : Result<LogPage>(errorOf(answer)));
  });
}

}  // namespace gorsetrail::services
