#include "services/engine_request.h"

#include <nlohmann/json.hpp>

namespace gorsetrail::services {
namespace {

/// Finds the ends of the top-level members of an object that is known to be valid JSON, so that
/// they can be copied without being written anew (which would change numbers and escapes).
class MemberScanner {
 public:
  explicit MemberScanner(std::string_view object) : text_(object) {}

  /// Enters the object. \return whether it has a first member.
  bool enter() {
    skipBlanks();
    ++place_;
    skipBlanks();
    return text_[place_] != '}';
  }

  /// \return the next member, `"key": value`, without blanks around it; `key` as JSON text.
  std::string_view next(std::string_view& key) {
    const std::size_t start = place_;
    skipString();
    key = text_.substr(start, place_ - start);
    skipBlanks();
    ++place_;  // The colon.
    skipValue();
    std::size_t end = place_;
    while (isBlank(text_[end - 1])) {
      --end;
    }
    return text_.substr(start, end - start);
  }

  /// \return whether another member follows.
  bool hasNext() {
    if (text_[place_] != ',') {
      return false;
    }
    ++place_;
    skipBlanks();
    return true;
  }

 private:
  static bool isBlank(char character) {
    return character == ' ' || character == '\t' || character == '\n' || character == '\r';
  }
  void skipBlanks() {
    while (isBlank(text_[place_])) {
      ++place_;
    }
  }
  void skipString() {
    ++place_;
    while (text_[place_] != '"') {
      place_ += text_[place_] == '\\' ? 2 : 1;
    }
    ++place_;
  }
  /// Stops at the comma or brace that ends the member.
  void skipValue() {
    std::size_t depth = 0;
    for (;;) {
      const char character = text_[place_];
      if (depth == 0 && (character == ',' || character == '}')) {
        return;
      }
      if (character == '"') {
        skipString();
        continue;
      }
      if (character == '{' || character == '[') {
        ++depth;
      } else if (character == '}' || character == ']') {
        --depth;
      }
      ++place_;
    }
  }

  std::string_view text_;
  std::size_t place_ = 0;
};

/// \return whether the node writes the member itself. A key may be written with escapes.
bool isReplaced(std::string_view key) {
  const auto name = nlohmann::json::parse(key, nullptr, false);
  return name == "model" || name == "adapter" || name == "stream";
}

std::string jsonString(const std::string& text) {
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool isObject(std::string_view body) {
  const std::size_t first = body.find_first_not_of(" \t\r\n");
  return first != std::string_view::npos && body[first] == '{' && nlohmann::json::accept(body);
}

}  // namespace

std::optional<std::string> makeEngineBody(std::string_view body, const EngineFields& fields) {
  if (!isObject(body)) {
    return std::nullopt;
  }
  std::string made = R"({"model":)" + jsonString(fields.model);
  if (!fields.adapter.empty()) {
    made += R"(,"adapter":)" + jsonString(fields.adapter);
  }
  made += R"(,"stream":true)";
  made.reserve(made.size() + body.size() + 1);
  MemberScanner scanner(body);
  for (bool more = scanner.enter(); more; more = scanner.hasNext()) {
    std::string_view key;
    const std::string_view member = scanner.next(key);
    if (!isReplaced(key)) {
      made += ',';
      made += member;
    }
  }
  return made + '}';
}

}  // namespace gorsetrail::services
