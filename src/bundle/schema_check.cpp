#include "bundle/schema_check.h"

#include <string>
#include <string_view>
#include <utility>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "bundle/bundle_schema.h"
#include "bundle/json_text.h"

namespace gorsetrail::bundle {
namespace {

using nlohmann::json;
using valijson::adapters::NlohmannJsonAdapter;

struct CompiledSchema {
  json text = json::parse(bundleSchemaText());
  valijson::Schema schema;

  CompiledSchema() {
    valijson::SchemaParser parser(valijson::SchemaParser::kDraft7);
    const NlohmannJsonAdapter adapter(text);
    parser.populateSchema(adapter, schema);
  }
};

const CompiledSchema& compiledSchema() {
  static const CompiledSchema compiled;
  return compiled;
}

/// valijson repeats a failure for every enclosing object and array; only the innermost is of use.
/// Unknown keys are found by `collectUnknownKeys`, since valijson names just one an object.
bool isRepetition(std::string_view description) {
  return description.starts_with("Failed to validate") ||
         description.starts_with("Object contains a property");
}

/// valijson's context is `<root>`, `[works]`, `[2]`, ...
std::string pathOf(const std::vector<std::string>& context) {
  std::string path;
  for (std::size_t level = 1; level < context.size(); ++level) {
    const std::string& part = context[level];
    path = childPath(path, std::string_view(part).substr(1, part.size() - 2));
  }
  return path.empty() ? "/" : path;
}

const json& resolved(const json& schema, const json& root) {
  const auto reference = schema.find("$ref");
  if (reference == schema.end()) {
    return schema;
  }
  return root.at(json::json_pointer(reference->get<std::string>().substr(1)));
}

const json& schemaAt(const std::string& path) {
  const json& root = compiledSchema().text;
  const json* schema = &root;
  if (path == "/") {
    return root;
  }
  json::json_pointer pointer(path);
  std::vector<std::string> parts;
  for (; !pointer.empty(); pointer.pop_back()) {
    parts.push_back(pointer.back());
  }
  for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
    const json& outer = resolved(*schema, root);
    const auto items = outer.find("items");
    const auto properties = outer.find("properties");
    if (items != outer.end()) {
      schema = &*items;
    } else if (properties != outer.end() && properties->contains(*part)) {
      schema = &properties->at(*part);
    } else {
      return root;
    }
  }
  return resolved(*schema, root);
}

std::string describeExpected(const json& schema) {
  std::string text = "a value of type " + schema.value("type", std::string("any"));
  if (schema.contains("enum")) {
    text = "one of " + schema["enum"].dump();
  }
  if (schema.contains("minimum")) {
    text += " from " + schema["minimum"].dump();
  }
  if (schema.contains("maximum")) {
    text += " to " + schema["maximum"].dump();
  }
  if (schema.contains("maxLength")) {
    text += " of at most " + schema["maxLength"].dump() + " characters";
  }
  if (schema.contains("minItems")) {
    text += " with at least " + schema["minItems"].dump() + " item";
  }
  if (schema.contains("maxItems")) {
    text += " with at most " + schema["maxItems"].dump() + " items";
  }
  if (schema.contains("pattern")) {
    text += " matching " + schema["pattern"].get<std::string>();
  }
  return text;
}

constexpr std::string_view kMissing = "Missing required property '";

Error toError(const valijson::ValidationResults::Error& failure) {
  const std::string path = pathOf(failure.context);
  if (failure.description.starts_with(kMissing)) {
    const std::size_t end = failure.description.find('\'', kMissing.size());
    const std::string key = failure.description.substr(kMissing.size(), end - kMissing.size());
    const std::string missing = childPath(path == "/" ? "" : path, key);
    return Error{ErrorKind::MissingField, missing, "the key is missing",
                 "add \"" + key + "\": " + describeExpected(schemaAt(missing))};
  }
  return Error{ErrorKind::InvalidField, path, failure.description,
               "give " + describeExpected(schemaAt(path))};
}

std::string listKeys(const json& properties) {
  std::string text;
  for (const auto& property : properties.items()) {
    text += (text.empty() ? "" : ", ") + property.key();
  }
  return text;
}

/// Walks document and schema side by side; its depth is that of the schema, not of the document.
void collectUnknownKeys(const json& document, const json& schema, const std::string& path,
                        std::vector<Error>& errors) {
  const json& root = compiledSchema().text;
  if (document.is_array() && schema.contains("items")) {
    for (std::size_t index = 0; index < document.size(); ++index) {
      collectUnknownKeys(document[index], resolved(schema["items"], root), childPath(path, index),
                         errors);
    }
  }
  if (!document.is_object() || !schema.contains("properties")) {
    return;
  }
  const json& properties = schema["properties"];
  for (const auto& member : document.items()) {
    const std::string memberPath = childPath(path, member.key());
    const auto property = properties.find(member.key());
    if (property == properties.end()) {
      errors.push_back(Error{ErrorKind::UnknownField, memberPath, "the key is unknown",
                             "remove it or use one of: " + listKeys(properties)});
    } else {
      collectUnknownKeys(member.value(), resolved(*property, root), memberPath, errors);
    }
  }
}

}  // namespace

std::vector<Error> checkAgainstSchema(const json& document) {
  valijson::ValidationResults results;
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  const NlohmannJsonAdapter adapter(document);
  std::vector<Error> errors;
  if (!validator.validate(compiledSchema().schema, adapter, &results)) {
    for (const valijson::ValidationResults::Error& failure : results) {
      if (!isRepetition(failure.description)) {
        errors.push_back(toError(failure));
      }
    }
  }
  collectUnknownKeys(document, compiledSchema().text, "", errors);
  return errors;
}

}  // namespace gorsetrail::bundle
