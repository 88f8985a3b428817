#include "bundle/json_text.h"

#include <set>
#include <utility>

#include "base/json_pointer.h"

namespace gorsetrail::bundle {
namespace {

using nlohmann::json;

/// Deeper than any bundle or envelope; keeps the paths short that are built for every level.
constexpr std::size_t kMaximumDepth = 16;

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
        leave();
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
    if (levelsTooDeep_ == 0 && !levels_.empty() && levels_.back().isArray) {
      ++levels_.back().elements;
    }
  }

  void enter(bool isArray) {
    if (levels_.size() == kMaximumDepth) {
      ++levelsTooDeep_;
      return;
    }
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

  void leave() {
    if (levelsTooDeep_ == 0) {
      levels_.pop_back();
      return;
    }
    if (--levelsTooDeep_ == 0) {
      errors_.push_back(Error{ErrorKind::InvalidBundle, levels_.back().path,
                              "more than " + std::to_string(kMaximumDepth) + " levels are nested",
                              "remove what no bundle has"});
    }
  }

  void noteKey(const std::string& key) {
    if (levelsTooDeep_ > 0) {
      return;
    }
    Level& level = levels_.back();
    level.key = key;
    if (!level.keys.insert(key).second) {
      errors_.push_back(Error{ErrorKind::InvalidBundle, childPath(level.path, key),
                              "the key stands twice in one object", "keep one of the two"});
    }
  }

  std::vector<Level> levels_;
  std::size_t levelsTooDeep_ = 0;
  std::vector<Error> errors_;
};

}  // namespace

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
