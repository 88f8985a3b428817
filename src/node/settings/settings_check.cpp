#include "node/settings/settings_check.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "node/settings/settings_schema.h"

namespace gorsetrail::node {
namespace {

using Json = nlohmann::json;
using valijson::adapters::NlohmannJsonAdapter;

constexpr std::string_view kMissing = "Missing required property '";
constexpr const char* kReference = "docs/settings.schema.json";

/// valijson repeats a failure for every enclosing object; only the innermost is of use. Unknown
/// keys are found by `collectUnknownKeys`, since valijson names just one of an object.
bool isRepetition(std::string_view description) {
  return description.starts_with("Failed to validate") ||
         description.starts_with("Object contains a property");
}

/// valijson's context is `<root>`, `[listen]`, `[0]`, ...
std::string pathOf(const std::vector<std::string>& context) {
  std::string path;
  for (std::size_t level = 1; level < context.size(); ++level) {
    const std::string& part = context[level];
    path += "/" + part.substr(1, part.size() - 2);
  }
  return path;
}

const Json& resolved(const Json& schema, const Json& root) {
  const auto reference = schema.find("$ref");
  return reference == schema.end()
             ? schema
             : root.at(Json::json_pointer(reference->get<std::string>().substr(1)));
}

/// \return the schema of the value at `path`; the root's when the path has none.
const Json& schemaAt(const std::string& path, const Json& root) {
  const Json* schema = &root;
  std::string_view rest = path;
  while (!rest.empty()) {
    rest.remove_prefix(1);
    const std::string key(rest.substr(0, rest.find('/')));
    rest.remove_prefix(key.size());
    const Json& outer = resolved(*schema, root);
    if (outer.contains("items")) {
      schema = &outer.at("items");
    } else if (outer.contains("properties") && outer.at("properties").contains(key)) {
      schema = &outer.at("properties").at(key);
    } else {
      return root;
    }
  }
  return resolved(*schema, root);
}

std::string describeExpected(const Json& schema) {
  std::string text = "a value of type " + schema.value("type", std::string("any"));
  if (schema.contains("enum")) {
    text = "one of " + schema.at("enum").dump();
  }
  for (const auto& [key, words] : {std::pair("minimum", " from "), std::pair("maximum", " to "),
                                   std::pair("minItems", " with at least this many items: "),
                                   std::pair("pattern", " matching ")}) {
    if (schema.contains(key)) {
      text += words + schema.at(key).dump();
    }
  }
  return text;
}

Error toError(const valijson::ValidationResults::Error& failure, const Json& root,
              const std::string& fileName) {
  const std::string path = pathOf(failure.context);
  if (!failure.description.starts_with(kMissing)) {
    return settingsError(fileName, path, failure.description,
                         "give " + describeExpected(schemaAt(path, root)) + "; see " + kReference);
  }
  const std::size_t end = failure.description.find('\'', kMissing.size());
  const std::string key = failure.description.substr(kMissing.size(), end - kMissing.size());
  const std::string missing = path + "/" + key;
  return settingsError(fileName, missing, "the key is missing",
                       "add \"" + key + "\": " + describeExpected(schemaAt(missing, root)));
}

std::string keysOf(const Json& properties) {
  std::string text;
  for (const auto& property : properties.items()) {
    text += (text.empty() ? "" : ", ") + property.key();
  }
  return text;
}

/// Walks document and schema side by side; its depth is that of the schema, not of the document.
void collectUnknownKeys(const Json& document, const Json& schema, const Json& root,
                        const std::string& path, const std::string& fileName,
                        std::vector<Error>& errors) {
  if (document.is_array() && schema.contains("items")) {
    for (std::size_t index = 0; index < document.size(); ++index) {
      collectUnknownKeys(document[index], resolved(schema.at("items"), root), root,
                         path + "/" + std::to_string(index), fileName, errors);
    }
  }
  if (!document.is_object() || !schema.contains("properties")) {
    return;
  }
  const Json& properties = schema.at("properties");
  for (const auto& entry : document.items()) {
    const std::string entryPath = path + "/" + entry.key();
    if (!properties.contains(entry.key())) {
      errors.push_back(settingsError(
          fileName, entryPath, "the key is not known",
          "remove it or correct its spelling; known keys here: " + keysOf(properties)));
    } else {
      collectUnknownKeys(entry.value(), resolved(properties.at(entry.key()), root), root, entryPath,
                         fileName, errors);
    }
  }
}

}  // namespace

Error settingsError(const std::string& fileName, const std::string& path, std::string reason,
                    std::string remedy) {
  return {ErrorKind::InvalidSettings, fileName + ": " + (path.empty() ? "/" : path),
          std::move(reason), std::move(remedy)};
}

std::vector<Error> checkAgainstSchema(const Json& document, const std::string& fileName) {
  const Json root = Json::parse(settingsSchemaText());
  valijson::Schema schema;
  valijson::SchemaParser parser(valijson::SchemaParser::kDraft7);
  parser.populateSchema(NlohmannJsonAdapter(root), schema);
  // No conversion between types: "1" is not a number.
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults results;
  std::vector<Error> errors;
  validator.validate(schema, NlohmannJsonAdapter(document), &results);
  valijson::ValidationResults::Error failure;
  while (results.popError(failure)) {
    if (!isRepetition(failure.description)) {
      errors.push_back(toError(failure, root, fileName));
    }
  }
  collectUnknownKeys(document, root, root, "", fileName, errors);
  return errors;
}

}  // namespace gorsetrail::node
