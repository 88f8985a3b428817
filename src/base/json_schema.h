/// \file Checks JSON documents against a JSON Schema (draft 7); valijson stays out of this header.
#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace gorsetrail {

/// What is wrong at one place of a document.
enum class SchemaFault : std::uint8_t { MissingKey, UnknownKey, InvalidValue };

/// One way in which a document breaks its schema.
struct SchemaBreach {
  SchemaFault fault = SchemaFault::InvalidValue;
  std::string path;      ///< JSON pointer; of a missing key, where it should stand; "" is the root.
  std::string key;       ///< The missing or unknown key, else empty.
  std::string reason;    ///< What the validator found (`InvalidValue` only).
  std::string expected;  ///< What the schema asks for; of an unknown key, the keys it knows.
};

/// A failure in the validator's own words; it fails again for every enclosing object and array.
struct SchemaFailure {
  std::vector<std::string> context;  ///< From the root: `<root>`, `[works]`, `[2]`, ...
  std::string reason;
};

/// A compiled schema. Checking converts no types: "1" is not a number.
class JsonSchema {
 public:
  /// \param text a valid schema; it comes with the program, so anything else throws.
  explicit JsonSchema(std::string_view text);
  ~JsonSchema();
  JsonSchema(JsonSchema&&) noexcept;
  JsonSchema& operator=(JsonSchema&&) noexcept;

  /// \return all breaches, each once; for schemas that close every object (unknown keys are found
  /// by walking `properties`, `items` and `$ref`).
  [[nodiscard]] std::vector<SchemaBreach> check(const nlohmann::json& document) const;

  /// \return the validator's failures, the innermost first; for schemas of any form.
  [[nodiscard]] std::vector<SchemaFailure> failures(const nlohmann::json& document) const;

 private:
  struct Compiled;
  std::unique_ptr<Compiled> compiled_;
};

}  // namespace gorsetrail
