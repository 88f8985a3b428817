#include "lab/config/json_config.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

#include "base/json_schema.h"

namespace gorsetrail::lab {
namespace {

Error settingsError(std::string field, std::string reason, std::string remedy) {
  return Error{ErrorKind::InvalidSettings, std::move(field), std::move(reason), std::move(remedy)};
}

std::string pathOf(const SchemaFailure& failure) {
  std::string path;
  for (const std::string& part : failure.context) {
    path += part;
  }
  return path;
}

/// Of all failures, the one deepest in the document names the key at fault.
Error schemaError(const std::string& source, const std::vector<SchemaFailure>& failures) {
  std::string path;
  std::string reason;
  for (const SchemaFailure& failure : failures) {
    const std::string failurePath = pathOf(failure);
    if (reason.empty() || failurePath.size() > path.size()) {
      path = failurePath;
      reason = failure.reason;
    }
  }
  return settingsError(source + " " + path, reason,
                       "correct or remove the key; docs/STANDINS.md lists the keys and values");
}

}  // namespace

Result<Success> checkDocument(const nlohmann::json& document, std::string_view schemaText,
                              const std::string& source) {
  const std::vector<SchemaFailure> failures = JsonSchema(schemaText).failures(document);
  if (!failures.empty()) {
    return schemaError(source, failures);
  }
  return Success{};
}

Result<nlohmann::json> checkJson(std::string_view text, std::string_view schemaText,
                                 const std::string& source) {
  nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
  if (document.is_discarded()) {
    return settingsError(source, "not valid JSON", "correct the syntax of the file");
  }
  const Result<Success> checked = checkDocument(document, schemaText, source);
  if (!succeeded(checked)) {
    return errorOf(checked);
  }
  return document;
}

Result<nlohmann::json> readJsonFile(const std::string& path, std::string_view schemaText) {
  std::ifstream file(path);
  if (!file) {
    return settingsError(path.empty() ? "--config" : path, "cannot be read",
                         "name a readable JSON file with --config");
  }
  std::stringstream text;
  text << file.rdbuf();
  return checkJson(text.str(), schemaText, path);
}

}  // namespace gorsetrail::lab
