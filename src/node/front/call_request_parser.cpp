#include "node/front/call_request_parser.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "node/front/call_headers.h"
#include "node/front/json_text.h"

namespace gorsetrail::node {
namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 5> kRoles = {"system", "user", "assistant", "tool",
                                                    "developer"};
constexpr std::string_view kJsonType = "application/json";

Error missing(std::string field, std::string remedy) {
  return {ErrorKind::MissingField, std::move(field), "it is missing", std::move(remedy)};
}

Error invalid(std::string field, std::string reason, std::string remedy) {
  return {ErrorKind::InvalidField, std::move(field), std::move(reason), std::move(remedy)};
}

std::string lowered(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](char character) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
  });
  return text;
}

std::optional<Error> checkBodyHeaders(const std::vector<http::Header>& headers) {
  for (const http::Header& header : headers) {
    const std::string name = lowered(header.name);
    if (name == "content-type" && !lowered(header.value).starts_with(kJsonType)) {
      return invalid("Content-Type", "it is not application/json", "send the request as JSON");
    }
    if (name == "content-encoding") {
      return invalid("Content-Encoding", "a compressed request is not read",
                     "send the body as it is");
    }
  }
  return std::nullopt;
}

Result<Json> parseBody(const std::string& body) {
  if (nestsDeeperThan(body, kMaximumJsonDepth)) {
    return Error{ErrorKind::MalformedRequest, "", "the JSON nests deeper than 64 levels",
                 "flatten the request"};
  }
  try {
    Json document = Json::parse(body);
    if (document.is_object()) {
      return document;
    }
  } catch (const Json::parse_error& error) {
    return Error{ErrorKind::MalformedRequest, "",
                 "the body is not JSON (at byte " + std::to_string(error.byte) + ")",
                 "send one JSON object in UTF-8"};
  }
  return Error{ErrorKind::MalformedRequest, "", "the body is not a JSON object",
               "send one JSON object"};
}

std::optional<Error> checkMessage(const Json& message, const std::string& path) {
  if (!message.is_object()) {
    return invalid(path, "it is not an object", R"(send {"role": ..., "content": ...})");
  }
  const auto role = message.find("role");
  if (role == message.end()) {
    return missing(path + ".role", "name the role, such as user");
  }
  const bool knownRole =
      role->is_string() &&
      std::find(kRoles.begin(), kRoles.end(), role->get_ref<const std::string&>()) != kRoles.end();
  if (!knownRole) {
    return invalid(path + ".role", "it is not a known role",
                   "use system, user, assistant, tool or developer");
  }
  const auto content = message.find("content");
  if (content == message.end()) {
    return missing(path + ".content", "give the message's text");
  }
  const bool toolCallOnly = content->is_null() && message.contains("tool_calls");
  if (!content->is_string() && !toolCallOnly) {
    return invalid(path + ".content", "it is not a string", "give the message's text as a string");
  }
  return std::nullopt;
}

std::optional<Error> readMessages(const Json& document, engine::CallRequest& call) {
  const auto messages = document.find("messages");
  if (messages == document.end()) {
    return missing("messages", "send the program's messages as an array");
  }
  if (!messages->is_array() || messages->empty()) {
    return invalid("messages", "it is not an array with at least one message",
                   "send the program's messages as an array");
  }
  for (std::size_t index = 0; index < messages->size(); ++index) {
    auto error = checkMessage((*messages)[index], "messages[" + std::to_string(index) + "]");
    if (error) {
      return error;
    }
  }
  call.messages = messages->dump();
  return std::nullopt;
}

std::optional<Error> readModel(const Json& document, engine::CallRequest& call) {
  const auto model = document.find("model");
  if (model == document.end()) {
    return missing("model", "name a work of the bundle");
  }
  if (!model->is_string() || !isBundleName(model->get_ref<const std::string&>())) {
    return invalid("model", "it is not the name of a work", "name a work of the bundle");
  }
  call.work = model->get<std::string>();
  return std::nullopt;
}

std::optional<Error> readMaximumTokens(const Json& document, engine::CallRequest& call) {
  const auto tokens = document.find("max_tokens");
  if (tokens == document.end()) {
    return std::nullopt;
  }
  const bool usable = tokens->is_number_unsigned() && tokens->get<std::uint64_t>() >= 1 &&
                      tokens->get<std::uint64_t>() <= kHighestMaximumTokens;
  if (!usable) {
    return invalid("max_tokens", "it is not a whole number from 1 to 10000000",
                   "send the most tokens that the answer may have");
  }
  call.maximumTokens = tokens->get<std::uint32_t>();
  return std::nullopt;
}

std::optional<Error> readMode(const Json& document, engine::CallRequest& call) {
  const auto stream = document.find("stream");
  if (stream != document.end() && !stream->is_boolean()) {
    return invalid("stream", "it is not a boolean", "send true or false");
  }
  const bool streams = stream != document.end() && stream->get<bool>();
  call.mode = streams ? engine::AnswerMode::Stream : engine::AnswerMode::Whole;
  const auto choices = document.find("n");
  if (choices != document.end() && *choices != 1) {
    return invalid("n", "only one choice is answered", "leave it out or send 1");
  }
  return std::nullopt;
}

std::optional<Error> readDocument(const Json& document, engine::CallRequest& call) {
  if (auto error = readModel(document, call)) {
    return error;
  }
  if (auto error = readMaximumTokens(document, call)) {
    return error;
  }
  if (auto error = readMode(document, call)) {
    return error;
  }
  return readMessages(document, call);
}

}  // namespace

Result<engine::CallRequest> parseCallRequest(http::ServerRequest request,
                                             const CallDefaults& defaults) {
  auto headers = parseCallHeaders(request.headers, defaults.zone);
  if (!succeeded(headers)) {
    return errorOf(headers);
  }
  if (auto error = checkBodyHeaders(request.headers)) {
    return *std::move(error);
  }
  const auto document = parseBody(request.body);
  if (!succeeded(document)) {
    return errorOf(document);
  }
  engine::CallRequest call;
  if (auto error = readDocument(valueOf(document), call)) {
    return *std::move(error);
  }
  CallHeaders& named = valueOf(headers);
  call.key = std::move(named.key);
  call.branchPath = std::move(named.branchPath);
  call.idempotencyKey = std::move(named.idempotencyKey);
  call.repeatable = named.repeatable;
  call.timeLimit = named.timeLimit.value_or(defaults.timeLimit);
  call.body = std::move(request.body);
  return call;
}

}  // namespace gorsetrail::node
