#include "bundle/json_text.h"

#include <set>
#include <utility>

namespace gorsetrail::bundle {
namespace {

using nlohmann::json;

/// Follows the parser's events and notes keys that stand twice in one object.
class RepeatedKeyFinder {
 public:
  bool onEvent(json::parse_event_t event, const json& parsed) {
    switch (event) {
      case json::parse_event_t::object_start:
        enter(false);
        break;
      case json::parse_event_t::array_start:
        enter(true);
        break;
      case json::parse_event_t::object_end:
      case json::parse_event_t::array_end:
        levels_.pop_back();
        break;
      case json::parse_event_t::key:
        noteKey(parsed.get<std::string>());
        break;
      case json::parse_event_t::value:
        noteElement();
        break;
    }
    return true;
  }

  std::vector<Error> takeErrors() { return std::move(errors_); }

 private:
  struct Level {
    bool isArray = false;
    std::string path;
    std::size_t elements = 0;
    std::string key;
    std::set<std::string> keys;
  };

  void noteElement() {
    if (!levels_.empty() && levels_.back().isArray) {
      ++levels_.back().elements;
    }
  }

  void enter(bool isArray) {
    Level level;
    level.isArray = isArray;
    if (!levels_.empty()) {
      const Level& outer = levels_.back();
      level.path =
          outer.isArray ? childPath(outer.path, outer.elements) : childPath(outer.path, outer.key);
    }
    noteElement();
    levels_.push_back(std::move(level));
  }

  void noteKey(const std::string& key) {
    Level& level = levels_.back();
    level.key = key;
    if (!level.keys.insert(key).second) {
      errors_.push_back(Error{ErrorKind::InvalidBundle, childPath(level.path, key),
                              "the key stands twice in one object", "keep one of the two"});
    }
  }

  std::vector<Level> levels_;
  std::vector<Error> errors_;
};

}  // namespace

std::string childPath(const std::string& path, std::string_view key) {
  std::string result = path + "/";
  for (const char character : key) {
    if (character == '~') {
      result += "~0";
    } else if (character == '/') {
      result += "~1";
    } else {
      result += character;
    }
  }
  return result;
}

std::string childPath(const std::string& path, std::size_t index) {
  return path + "/" + std::to_string(index);
}

std::variant<nlohmann::json, std::vector<Error>> parseJsonText(std::string_view text) {
  RepeatedKeyFinder finder;
  const auto callback = [&finder](int, json::parse_event_t event, json& parsed) {
    return finder.onEvent(event, parsed);
  };
  try {
    json value = json::parse(text, callback);
    std::vector<Error> errors = finder.takeErrors();
    if (!errors.empty()) {
      return errors;
    }
    return value;
  } catch (const json::exception& failure) {
    return std::vector<Error>{Error{ErrorKind::InvalidBundle, "/", failure.what(),
                                    "correct the JSON at the named line and column"}};
  }
}

}  // namespace gorsetrail::bundle
