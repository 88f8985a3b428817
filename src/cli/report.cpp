#include "cli/report.h"

#include <algorithm>
#include <string_view>

namespace gorsetrail::cli {
namespace {

constexpr std::size_t kColumnGap = 2;

/// Text from logs and nodes must not contain terminal control sequences.
std::string printable(std::string text) {
  std::replace_if(
      text.begin(), text.end(),
      [](char character) {
        const auto code = static_cast<unsigned char>(character);
        return code < 0x20 || code == 0x7f;
      },
      '?');
  return text;
}

std::string cellText(const OrderedJson& cell) {
  if (cell.is_string()) {
    return printable(cell.get<std::string>());
  }
  return cell.is_null() ? "-" : jsonText(cell, -1);
}

std::vector<std::size_t> widthsOf(const Table& table) {
  std::vector<std::size_t> widths;
  for (std::size_t column = 0; column < table.columns.size(); ++column) {
    std::size_t width = table.columns[column].size();
    for (const auto& row : table.rows) {
      width = std::max(width, cellText(row[column]).size());
    }
    widths.push_back(width);
  }
  return widths;
}

void printLine(std::ostream& out, const std::vector<std::string>& cells,
               const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t column = 0; column < cells.size(); ++column) {
    line += cells[column];
    if (column + 1 < cells.size()) {
      line.append(widths[column] - cells[column].size() + kColumnGap, ' ');
    }
  }
  out << line << '\n';
}

OrderedJson rowObjects(const Table& table) {
  OrderedJson list = OrderedJson::array();
  for (const auto& row : table.rows) {
    OrderedJson object = OrderedJson::object();
    for (std::size_t column = 0; column < table.columns.size(); ++column) {
      object[table.columns[column]] = row[column];
    }
    list.push_back(std::move(object));
  }
  return list;
}

}  // namespace

std::string jsonText(const OrderedJson& value, int indent) {
  return value.dump(indent, ' ', false, OrderedJson::error_handler_t::replace);
}

void printTable(std::ostream& out, OutputFormat format, const Table& table) {
  if (format == OutputFormat::Json) {
    out << jsonText(rowObjects(table)) << '\n';
    return;
  }
  const std::vector<std::size_t> widths = widthsOf(table);
  printLine(out, table.columns, widths);
  for (const auto& row : table.rows) {
    std::vector<std::string> cells;
    cells.reserve(row.size());
    for (const OrderedJson& cell : row) {
      cells.push_back(cellText(cell));
    }
    printLine(out, cells, widths);
  }
}

void printObject(std::ostream& out, OutputFormat format, const OrderedJson& object) {
  if (format == OutputFormat::Json) {
    out << jsonText(object) << '\n';
    return;
  }
  for (const auto& member : object.items()) {
    out << printable(member.key()) << ": " << cellText(member.value()) << '\n';
  }
}

void printErrors(std::ostream& out, OutputFormat format, const std::vector<Error>& errors) {
  if (format == OutputFormat::Table) {
    for (const Error& error : errors) {
      out << printable(error.toText()) << '\n';
    }
    return;
  }
  OrderedJson list = OrderedJson::array();
  for (const Error& error : errors) {
    list.push_back({{"kind", errorKindName(error.kind)},
                    {"field", error.field},
                    {"reason", error.reason},
                    {"remedy", error.remedy}});
  }
  out << jsonText(OrderedJson{{"errors", std::move(list)}}) << '\n';
}

}  // namespace gorsetrail::cli
