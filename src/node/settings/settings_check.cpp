#include "node/settings/settings_check.h"

#include <utility>

#include "base/json_schema.h"
#include "node/settings/settings_schema.h"

namespace gorsetrail::node {
namespace {

constexpr const char* kReference = "docs/settings.schema.json";

Error toError(const SchemaBreach& breach, const std::string& fileName) {
  switch (breach.fault) {
    case SchemaFault::MissingKey:
      return settingsError(fileName, breach.path, "the key is missing",
                           "add \"" + breach.key + "\": " + breach.expected);
    case SchemaFault::UnknownKey:
      return settingsError(
          fileName, breach.path, "the key is not known",
          "remove it or correct its spelling; known keys here: " + breach.expected);
    case SchemaFault::InvalidValue:
      break;
  }
  return settingsError(fileName, breach.path, breach.reason,
                       "give " + breach.expected + "; see " + kReference);
}

}  // namespace

Error settingsError(const std::string& fileName, const std::string& path, std::string reason,
                    std::string remedy) {
  return {ErrorKind::InvalidSettings, fileName + ": " + (path.empty() ? "/" : path),
          std::move(reason), std::move(remedy)};
}

std::vector<Error> checkAgainstSchema(const nlohmann::json& document, const std::string& fileName) {
  std::vector<Error> errors;
  for (const SchemaBreach& breach : JsonSchema(settingsSchemaText()).check(document)) {
    errors.push_back(toError(breach, fileName));
  }
  return errors;
}

}  // namespace gorsetrail::node
