#include "lab/standin/log_stand_in.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/base64.h"

namespace gorsetrail::standin {
namespace {

constexpr std::string_view kStreamsPath = "/v1/streams/";
constexpr std::string_view kRecordsSuffix = "/records";

/// \return the stream's name in `/v1/streams/NAME/records`, or an empty text.
std::string streamNameOf(std::string_view path) {
  if (!path.starts_with(kStreamsPath) || !path.ends_with(kRecordsSuffix) ||
      path.size() <= kStreamsPath.size() + kRecordsSuffix.size()) {
    return {};
  }
  path.remove_prefix(kStreamsPath.size());
  path.remove_suffix(kRecordsSuffix.size());
  return path.find('/') == std::string_view::npos ? std::string(path) : std::string();
}

}  // namespace

void LogStandIn::handle(const HttpRequest& request, HttpExchangePtr exchange) {
  const std::string stream = streamNameOf(request.path);
  if (!stream.empty() && request.method == "POST") {
    exchange->respond(append(stream, request));
  } else if (!stream.empty() && request.method == "GET") {
    exchange->respond(read(stream, request));
  } else {
    exchange->respond(errorResponse(404, "no such resource", "use /v1/streams/NAME/records"));
  }
}

HttpResponse LogStandIn::append(const std::string& stream, const HttpRequest& request) {
  if (request.body.size() > kMaximumRecordBytes) {
    return errorResponse(413, "record too large", "send at most 1 MiB");
  }
  Records& records = streams_[stream];
  records.push_back(request.body);
  return jsonResponse(200, nlohmann::json{{"offset", records.size() - 1}}.dump());
}

HttpResponse LogStandIn::read(const std::string& stream, const HttpRequest& request) const {
  static const Records kNoRecords;
  const auto found = streams_.find(stream);
  const Records& records = found == streams_.end() ? kNoRecords : found->second;
  const std::uint64_t from = request.queryNumber("from", 0);
  const std::uint64_t maximum =
      std::min(request.queryNumber("max", kMaximumRecordsPerRead), kMaximumRecordsPerRead);
  nlohmann::json list = nlohmann::json::array();
  std::uint64_t next = from;
  std::size_t bytes = 0;
  while (next < records.size() && list.size() < maximum && bytes < kMaximumBytesPerRead) {
    const std::string& record = records[next];
    list.push_back({{"offset", next}, {"data", encodeBase64(record)}});
    bytes += record.size();
    ++next;
  }
  return jsonResponse(200, nlohmann::json{{"records", std::move(list)}, {"next", next}}.dump());
}

}  // namespace gorsetrail::standin
