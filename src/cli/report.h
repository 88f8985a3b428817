/// \file Prints command output as an aligned table or as one JSON value.
#pragma once

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "base/error.h"
#include "cli/options.h"

namespace gorsetrail::cli {

using OrderedJson = nlohmann::ordered_json;

/// Rows under named columns; every row has as many cells as there are columns.
struct Table {
  std::vector<std::string> columns;
  std::vector<std::vector<OrderedJson>> rows;
};

/// Prints rows; as JSON a list of objects.
void printTable(std::ostream& out, OutputFormat format, const Table& table);

/// Prints one object: one line per key, or JSON.
void printObject(std::ostream& out, OutputFormat format, const OrderedJson& object);

/// Prints errors: one line each, or `{"errors": [{"kind","field","reason","remedy"}]}`.
void printErrors(std::ostream& out, OutputFormat format, const std::vector<Error>& errors);

/// \return JSON as text; invalid UTF-8 is replaced.
std::string jsonText(const OrderedJson& value, int indent = 2);

}  // namespace gorsetrail::cli
