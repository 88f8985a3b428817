#include "node/front/json_text.h"

#include <algorithm>

namespace gorsetrail::node {
namespace {

constexpr char kLastControlCharacter = 0x1f;

bool needsEscape(char character) {
  return character == '"' || character == '\\' ||
         (character >= 0 && character <= kLastControlCharacter);
}

void appendEscape(std::string& out, char character) {
  static constexpr char kDigits[] = "0123456789abcdef";
  switch (character) {
    case '"':
      out += "\\\"";
      return;
    case '\\':
      out += "\\\\";
      return;
    case '\n':
      out += "\\n";
      return;
    case '\r':
      out += "\\r";
      return;
    case '\t':
      out += "\\t";
      return;
    default:
      break;
  }
  const auto byte = static_cast<unsigned char>(character);
  out += "\\u00";
  out.push_back(kDigits[byte >> 4]);
  out.push_back(kDigits[byte & 15]);
}

}  // namespace

void appendJsonString(std::string& out, std::string_view text) {
  out.push_back('"');
  auto run = text.begin();
  while (run != text.end()) {
    const auto special = std::find_if(run, text.end(), needsEscape);
    out.append(run, special);
    if (special == text.end()) {
      break;
    }
    appendEscape(out, *special);
    run = special + 1;
  }
  out.push_back('"');
}

bool nestsDeeperThan(std::string_view json, std::size_t limit) {
  std::size_t depth = 0;
  bool inString = false;
  for (std::size_t position = 0; position < json.size(); ++position) {
    const char character = json[position];
    if (inString) {
      if (character == '\\') {
        ++position;
      }
      inString = character != '"';
    } else if (character == '"') {
      inString = true;
    } else if (character == '[' || character == '{') {
      if (++depth > limit) {
        return true;
      }
    } else if ((character == ']' || character == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

}  // namespace gorsetrail::node
