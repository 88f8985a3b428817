#include "base/json_schema.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "base/json_pointer.h"

namespace gorsetrail {
namespace {

using nlohmann::json;
using valijson::adapters::NlohmannJsonAdapter;

constexpr std::string_view kMissing = "Missing required property '";

/// valijson repeats an error for every enclosing object and array, so only the innermost is kept.
/// It reports just one unknown key per object, so `collectUnknownKeys` finds these instead.
bool isRepetition(std::string_view description) {
  return description.starts_with("Failed to validate") ||
         description.starts_with("Object contains a property");
}

/// Converts valijson's context, such as `<root>`, `[works]`, `[2]`, to a JSON pointer.
std::string pathOf(const std::vector<std::string>& context) {
  std::string path;
  for (std::size_t level = 1; level < context.size(); ++level) {
    const std::string& part = context[level];
    path = childPath(path, std::string_view(part).substr(1, part.size() - 2));
  }
  return path;
}

const json& resolved(const json& schema, const json& root) {
  const auto reference = schema.find("$ref");
  if (reference == schema.end()) {
    return schema;
  }
  return root.at(json::json_pointer(reference->get<std::string>().substr(1)));
}

/// \return the schema of the value at `path`; the root schema when `path` has none.
const json& schemaAt(const std::string& path, const json& root) {
  const json* schema = &root;
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

SchemaBreach toViolation(const SchemaFailure& failure, const json& root) {
  const std::string path = pathOf(failure.context);
  if (!failure.reason.starts_with(kMissing)) {
    return {SchemaFault::InvalidValue, path, "", failure.reason,
            describeExpected(schemaAt(path, root))};
  }
  const std::size_t end = failure.reason.find('\'', kMissing.size());
  const std::string key = failure.reason.substr(kMissing.size(), end - kMissing.size());
  const std::string missing = childPath(path, key);
  return {SchemaFault::MissingKey, missing, key, "", describeExpected(schemaAt(missing, root))};
}

std::string listKeys(const json& properties) {
  std::string text;
  for (const auto& property : properties.items()) {
    text += (text.empty() ? "" : ", ") + property.key();
  }
  return text;
}

/// Traverses document and schema together. The recursion depth is limited by the schema, not by the
/// document.
void collectUnknownKeys(const json& document, const json& schema, const json& root,
                        const std::string& path, std::vector<SchemaBreach>& violations) {
  if (document.is_array() && schema.contains("items")) {
    for (std::size_t index = 0; index < document.size(); ++index) {
      collectUnknownKeys(document[index], resolved(schema["items"], root), root,
                         childPath(path, index), violations);
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
      violations.push_back(
          {SchemaFault::UnknownKey, memberPath, member.key(), "", listKeys(properties)});
    } else {
      collectUnknownKeys(member.value(), resolved(*property, root), root, memberPath, violations);
    }
  }
}

}  // namespace

struct JsonSchema::Compiled {
  explicit Compiled(std::string_view schemaText) : text(json::parse(schemaText)) {
    valijson::SchemaParser parser(valijson::SchemaParser::kDraft7);
    parser.populateSchema(NlohmannJsonAdapter(text), schema);
  }

  json text;
  valijson::Schema schema;
};

JsonSchema::JsonSchema(std::string_view text) : compiled_(std::make_unique<Compiled>(text)) {}
JsonSchema::~JsonSchema() = default;
JsonSchema::JsonSchema(JsonSchema&&) noexcept = default;
JsonSchema& JsonSchema::operator=(JsonSchema&&) noexcept = default;

std::vector<SchemaFailure> JsonSchema::failures(const json& document) const {
  valijson::ValidationResults results;
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  std::vector<SchemaFailure> failures;
  if (!validator.validate(compiled_->schema, NlohmannJsonAdapter(document), &results)) {
    for (const valijson::ValidationResults::Error& failure : results) {
      failures.push_back({failure.context, failure.description});
    }
  }
  return failures;
}

std::vector<SchemaBreach> JsonSchema::check(const json& document) const {
  std::vector<SchemaBreach> violations;
  for (const SchemaFailure& failure : failures(document)) {
    if (!isRepetition(failure.reason)) {
      violations.push_back(toViolation(failure, compiled_->text));
    }
  }
  collectUnknownKeys(document, compiled_->text, compiled_->text, "", violations);
  return violations;
}

}  // namespace gorsetrail
