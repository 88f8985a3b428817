#include "lab/config/json_config.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace gorsetrail::lab {
namespace {

using valijson::adapters::NlohmannJsonAdapter;

Error settingsError(std::string field, std::string reason, std::string remedy) {
  return Error{ErrorKind::InvalidSettings, std::move(field), std::move(reason), std::move(remedy)};
}

std::string pathOf(const valijson::ValidationResults::Error& error) {
  std::string path;
  for (const std::string& part : error.context) {
    path += part;
  }
  return path;
}

/// Of all errors, the one deepest in the document names the key at fault.
Error schemaError(const std::string& source, valijson::ValidationResults& results) {
  std::string path;
  std::string reason;
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    const std::string errorPath = pathOf(error);
    if (reason.empty() || errorPath.size() > path.size()) {
      path = errorPath;
      reason = error.description;
    }
  }
  return settingsError(source + " " + path, reason,
                       "correct or remove the key; docs/STANDINS.md lists the keys and values");
}

}  // namespace

Result<Success> checkDocument(const nlohmann::json& document, std::string_view schemaText,
                              const std::string& source) {
  const nlohmann::json schemaDocument = nlohmann::json::parse(schemaText);
  valijson::Schema schema;
  valijson::SchemaParser parser;
  parser.populateSchema(NlohmannJsonAdapter(schemaDocument), schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  if (!validator.validate(schema, NlohmannJsonAdapter(document), &results)) {
    return schemaError(source, results);
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
