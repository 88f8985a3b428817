#include "bundle/schema_check.h"

#include <string>

#include "base/json_schema.h"
#include "bundle/bundle_schema.h"

namespace gorsetrail::bundle {
namespace {

const JsonSchema& compiledSchema() {
  static const JsonSchema compiled(bundleSchemaText());
  return compiled;
}

Error toError(const SchemaBreach& breach) {
  switch (breach.fault) {
    case SchemaFault::MissingKey:
      return Error{ErrorKind::MissingField, breach.path, "the key is missing",
                   "add \"" + breach.key + "\": " + breach.expected};
    case SchemaFault::UnknownKey:
      return Error{ErrorKind::UnknownField, breach.path, "the key is unknown",
                   "remove it or use one of: " + breach.expected};
    case SchemaFault::InvalidValue:
      break;
  }
  return Error{ErrorKind::InvalidField, breach.path.empty() ? "/" : breach.path, breach.reason,
               "give " + breach.expected};
}

}  // namespace

std::vector<Error> checkAgainstSchema(const nlohmann::json& document) {
  std::vector<Error> errors;
  for (const SchemaBreach& breach : compiledSchema().check(document)) {
    errors.push_back(toError(breach));
  }
  return errors;
}

}  // namespace gorsetrail::bundle
