#include "cli/bundle_diff.h"

#include <algorithm>
#include <map>

#include "base/json_pointer.h"

namespace gorsetrail::cli {
namespace {

using nlohmann::json;

/// \return whether the value is a list of objects with different names.
bool isNamedList(const json& value) {
  if (!value.is_array() || value.empty()) {
    return false;
  }
  std::map<std::string, int> names;
  return std::all_of(value.begin(), value.end(), [&names](const json& item) {
    return item.is_object() && item.contains("name") && item["name"].is_string() &&
           ++names[item["name"].get<std::string>()] == 1;
  });
}

json byName(const json& list) {
  json object = json::object();
  for (const json& item : list) {
    object[item["name"].get<std::string>()] = item;
  }
  return object;
}

bool isEmptyList(const json& value) { return value.is_array() && value.empty(); }

/// \return whether both values are lists of named items, so that they can be matched by name.
bool areNamedLists(const json& first, const json& second) {
  return (isNamedList(first) || isEmptyList(first)) && (isNamedList(second) || isEmptyList(second));
}

class Differ {
 public:
  void compare(const json& before, const json& after, const std::string& path) {
    if (before.is_object() && after.is_object()) {
      compareObjects(before, after, path);
    } else if (areNamedLists(before, after)) {
      compareObjects(byName(before), byName(after), path);
    } else if (before != after) {
      changes.push_back({path, before.dump(), after.dump()});
    }
  }

  std::vector<BundleChange> changes;

 private:
  void compareObjects(const json& before, const json& after, const std::string& path) {
    for (const auto& member : before.items()) {
      const std::string memberPath = childPath(path, member.key());
      const auto other = after.find(member.key());
      if (other == after.end()) {
        changes.push_back({memberPath, member.value().dump(), ""});
      } else {
        compare(member.value(), *other, memberPath);
      }
    }
    for (const auto& member : after.items()) {
      if (!before.contains(member.key())) {
        changes.push_back({childPath(path, member.key()), "", member.value().dump()});
      }
    }
  }
};

}  // namespace

std::vector<BundleChange> diffBundles(const json& before, const json& after) {
  Differ differ;
  differ.compare(before, after, "");
  std::sort(differ.changes.begin(), differ.changes.end(),
            [](const BundleChange& first, const BundleChange& second) {
              return first.path < second.path;
            });
  return std::move(differ.changes);
}

std::string formatChange(const BundleChange& change) {
  if (change.before.empty()) {
    return "+ " + change.path + ": " + change.after;
  }
  if (change.after.empty()) {
    return "- " + change.path + ": " + change.before;
  }
  return "~ " + change.path + ": " + change.before + " -> " + change.after;
}

}  // namespace gorsetrail::cli
