/// \file Validates JSON documents against a JSON Schema (draft 7) without exposing valijson.
#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace gorsetrail {

/// Kind of a schema violation.
enum class SchemaFault : std::uint8_t { MissingKey, UnknownKey, InvalidValue };

/// One violation of a schema by a document.
struct SchemaBreach {
  SchemaFault fault = SchemaFault::InvalidValue;
  std::string path;      ///< JSON pointer to the value or the missing key; "" is the root.
  std::string key;       ///< The missing or unknown key, otherwise empty.
  std::string reason;    ///< Message of the validator (`InvalidValue` only).
  std::string expected;  ///< What the schema requires; for an unknown key, the known keys.
};

/// An unprocessed error of the validator, which repeats it for every enclosing object and array.
struct SchemaFailure {
  std::vector<std::string> context;  ///< From the root: `<root>`, `[works]`, `[2]`, ...
  std::string reason;
};

/// A compiled schema. Validation does not convert types: "1" is not a number.
class JsonSchema {
 public:
  /// \param text the schema. An invalid one throws, because schemas are part of the program.
  explicit JsonSchema(std::string_view text);
  ~JsonSchema();
  JsonSchema(JsonSchema&&) noexcept;
  JsonSchema& operator=(JsonSchema&&) noexcept;

  /// For schemas that forbid additional properties in every object, because every key that is not
  /// in `properties` is reported.
  /// \return all violations, each once.
  [[nodiscard]] std::vector<SchemaBreach> check(const nlohmann::json& document) const;

  /// For any schema.
  /// \return the validator's errors, innermost first.
  [[nodiscard]] std::vector<SchemaFailure> failures(const nlohmann::json& document) const;

 private:
  struct Compiled;
  std::unique_ptr<Compiled> compiled_;
};

}  // namespace gorsetrail
