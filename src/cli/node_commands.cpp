/// Commands that query nodes: bundle status, nodes, programs.
#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "cli/command.h"
#include "cli/report.h"

namespace gorsetrail::cli {
namespace {

using nlohmann::json;

constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpTemporaryRedirect = 307;
constexpr unsigned kHttpServerError = 500;
constexpr unsigned kHttpNotFound = 404;
constexpr Duration kPauseBetweenPolls = milliseconds(500);

Result<http::Response> get(CommandContext& context, const std::string& address,
                           const std::string& target) {
  http::Request request;
  request.address = address;
  request.target = target;
  request.timeLimit = timeLimitOf(context.options);
  return context.http.send(request);
}

/// \return the node's status, or the error that prevented reading it.
Result<json> statusOf(CommandContext& context, const std::string& address) {
  const Result<http::Response> response = get(context, address, "/v1/status");
  if (!succeeded(response)) {
    return errorOf(response);
  }
  json status = json::parse(valueOf(response).body, nullptr, false);
  if (valueOf(response).status != kHttpOk || !status.is_object()) {
    return Error{
        ErrorKind::PlatformUnavailable, address,
        "status " + std::to_string(valueOf(response).status) + " instead of a node's status object",
        "check that --nodes gives caller-facing addresses of nodes"};
  }
  return status;
}

OrderedJson valueAt(const json& object, const char* key) {
  const auto found = object.find(key);
  return found == object.end() ? OrderedJson() : OrderedJson(*found);
}

bool hasVersion(const json& status, std::uint64_t wanted) {
  const auto found = status.find("bundle_version");
  return found != status.end() && found->is_number_unsigned() &&
         found->get<std::uint64_t>() >= wanted;
}

struct StatusSurvey {
  Table table{{"address", "node", "zone", "incarnation", "bundle_version", "members", "error"}, {}};
  std::size_t unreachableNodes = 0;
  std::size_t outdatedNodes = 0;
};

StatusSurvey surveyStatus(CommandContext& context) {
  StatusSurvey survey;
  for (const std::string& address : context.options.nodes) {
    const Result<json> status = statusOf(context, address);
    if (!succeeded(status)) {
      ++survey.unreachableNodes;
      survey.table.rows.push_back(
          {address, nullptr, nullptr, nullptr, nullptr, nullptr, errorOf(status).reason});
      continue;
    }
    const json& value = valueOf(status);
    survey.outdatedNodes += hasVersion(value, context.options.waitVersion) ? 0 : 1;
    const json members = value.value("members", json::array());
    survey.table.rows.push_back({address, valueAt(value, "node"), valueAt(value, "zone"),
                                 valueAt(value, "incarnation"), valueAt(value, "bundle_version"),
                                 members.size(), nullptr});
  }
  return survey;
}

ExitCode exitCodeOfSurvey(const StatusSurvey& survey, std::uint64_t wanted) {
  if (survey.unreachableNodes > 0) {
    return ExitCode::PlatformUnavailable;
  }
  return wanted > 0 && survey.outdatedNodes > 0 ? ExitCode::Refused : ExitCode::Done;
}

/// Percent-encodes all but the unreserved characters of RFC 3986.
std::string escaped(const std::string& text) {
  std::string result;
  for (const char character : text) {
    const auto code = static_cast<unsigned char>(character);
    if (std::isalnum(code) != 0 || std::string_view("._-~").find(character) != std::string::npos) {
      result += character;
    } else {
      char escapeSequence[4];
      std::snprintf(escapeSequence, sizeof(escapeSequence), "%%%02X", code);
      result += escapeSequence;
    }
  }
  return result;
}

std::string headerOf(const http::Response& response, const std::string& name) {
  const auto sameText = [](char first, char second) {
    return std::tolower(static_cast<unsigned char>(first)) ==
           std::tolower(static_cast<unsigned char>(second));
  };
  for (const http::Header& header : response.headers) {
    if (std::equal(header.name.begin(), header.name.end(), name.begin(), name.end(), sameText)) {
      return header.value;
    }
  }
  return "";
}

/// \return the `ip:port` of `http://ip:port/...`, or an empty text.
std::string addressOfUrl(const std::string& url) {
  constexpr std::string_view kScheme = "http://";
  if (!url.starts_with(kScheme)) {
    return "";
  }
  return url.substr(kScheme.size(), url.find('/', kScheme.size()) - kScheme.size());
}

/// Queries a node and follows at most one redirect to the owner.
Result<http::Response> askForProgram(CommandContext& context, const std::string& address,
                                     const std::string& target) {
  Result<http::Response> response = get(context, address, target);
  if (!succeeded(response) || valueOf(response).status != kHttpTemporaryRedirect) {
    return response;
  }
  const std::string owner = addressOfUrl(headerOf(valueOf(response), "Location"));
  return owner.empty() ? response : get(context, owner, target);
}

void replaceByText(const OrderedJson& object, const char* key, std::string& text) {
  const auto found = object.find(key);
  if (found != object.end() && found->is_string()) {
    text = found->get<std::string>();
  }
}

ExitCode reportProgram(CommandContext& context, const http::Response& response) {
  const OrderedJson body = OrderedJson::parse(response.body, nullptr, false);
  if (response.status == kHttpOk && body.is_object()) {
    printObject(context.out, context.options.format, body);
    return ExitCode::Done;
  }
  Error error{ErrorKind::BackendFailed, context.arguments.front(),
              "the node answered with status " + std::to_string(response.status),
              "check name, --tenant and --zone"};
  if (body.is_object() && body.contains("error") && body["error"].is_object()) {
    replaceByText(body["error"], "reason", error.reason);
    replaceByText(body["error"], "remedy", error.remedy);
  }
  if (response.status == kHttpNotFound) {
    error.kind = ErrorKind::ProgramNotFound;
  } else if (response.status >= kHttpServerError) {
    error.kind = ErrorKind::PlatformUnavailable;
  }
  return fail(context, error);
}

}  // namespace

ExitCode runBundleStatus(CommandContext& context) {
  const Result<Success> flags = requireFlags(context, {"nodes"});
  if (!succeeded(flags)) {
    return fail(context, errorOf(flags));
  }
  const std::uint64_t wanted = context.options.waitVersion;
  const auto polls = wanted == 0 ? 1 : timeLimitOf(context.options) / kPauseBetweenPolls;
  StatusSurvey survey = surveyStatus(context);
  for (std::int64_t poll = 1; poll < polls && exitCodeOfSurvey(survey, wanted) != ExitCode::Done;
       ++poll) {
    context.pause(kPauseBetweenPolls);
    survey = surveyStatus(context);
  }
  printTable(context.out, context.options.format, survey.table);
  return exitCodeOfSurvey(survey, wanted);
}

ExitCode runNodes(CommandContext& context) {
  const Result<Success> flags = requireFlags(context, {"nodes"});
  if (!succeeded(flags)) {
    return fail(context, errorOf(flags));
  }
  Table table{{"seen_by", "node", "zone", "state", "incarnation", "callers"}, {}};
  ExitCode code = ExitCode::Done;
  for (const std::string& address : context.options.nodes) {
    const Result<json> status = statusOf(context, address);
    if (!succeeded(status)) {
      code = fail(context, errorOf(status));
      continue;
    }
    for (const json& member : valueOf(status).value("members", json::array())) {
      if (member.is_object()) {
        table.rows.push_back({valueAt(valueOf(status), "node"), valueAt(member, "node"),
                              valueAt(member, "zone"), valueAt(member, "state"),
                              valueAt(member, "incarnation"), valueAt(member, "callers")});
      }
    }
  }
  printTable(context.out, context.options.format, table);
  return code;
}

ExitCode runPrograms(CommandContext& context) {
  const Result<Success> flags = requireFlags(context, {"nodes", "tenant"});
  if (!succeeded(flags)) {
    return fail(context, errorOf(flags));
  }
  const Options& options = context.options;
  std::string target =
      "/v1/programs/" + escaped(context.arguments.front()) + "?tenant=" + escaped(options.tenant);
  if (!options.zone.empty()) {
    target += "&zone=" + escaped(options.zone);
  }
  Result<http::Response> response = askForProgram(context, options.nodes.front(), target);
  for (std::size_t next = 1; next < options.nodes.size() && !succeeded(response); ++next) {
    response = askForProgram(context, options.nodes[next], target);
  }
  if (!succeeded(response)) {
    return fail(context, errorOf(response));
  }
  return reportProgram(context, valueOf(response));
}

}  // namespace gorsetrail::cli
