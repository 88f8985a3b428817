#include "lab/faultsoak/foreign_entries.h"

#include <array>
#include <nlohmann/json.hpp>

namespace gorsetrail::lab {
namespace {

using Json = nlohmann::json;

/// More than any replica's entry nests.
constexpr std::size_t kDepth = 2000;

enum class Damage : std::uint8_t { Missing, OtherType };

struct DamagedField {
  const char* name;
  Damage damage;
};

constexpr std::array<DamagedField, 9> kDamagedFields = {{{"service", Damage::Missing},
                                                         {"address", Damage::Missing},
                                                         {"state", Damage::Missing},
                                                         {"service", Damage::OtherType},
                                                         {"address", Damage::OtherType},
                                                         {"state", Damage::OtherType},
                                                         {"slots", Damage::OtherType},
                                                         {"zone", Damage::OtherType},
                                                         {"born", Damage::OtherType}}};
/// Kinds beside the damaged fields: unknown state, unknown service, and four that are no object.
constexpr std::size_t kOtherKinds = 6;

Json wholeEntry(const std::string& service, const std::string& address) {
  return {{"service", service}, {"address", address}, {"zone", "a"},  {"slots", 16},
          {"state", "ready"},   {"callSeq", 1},       {"born", 1000}, {"coldRemainingMs", 0}};
}

std::string otherKind(std::size_t kind, Json entry) {
  switch (kind) {
    case 0:
      entry["state"] = "asleep";
      return entry.dump();
    case 1:
      entry["service"] = "no-such-service";
      return entry.dump();
    case 2:
      return Json::array({entry}).dump();
    case 3:
      return "7";
    case 4:
      return std::string(kDepth, '[');
    default:
      return std::string("\xff\xfe\0{", 4);
  }
}

}  // namespace

std::size_t foreignEntryKinds() { return kDamagedFields.size() + kOtherKinds; }

std::string foreignEntry(std::size_t kind, const std::string& service, const std::string& address) {
  Json entry = wholeEntry(service, address);
  if (kind >= kDamagedFields.size()) {
    return otherKind(kind - kDamagedFields.size(), std::move(entry));
  }
  const DamagedField& field = kDamagedFields[kind];
  if (field.damage == Damage::Missing) {
    entry.erase(field.name);
  } else {
    entry[field.name] = Json::array({"text", nullptr});
  }
  return entry.dump();
}

}  // namespace gorsetrail::lab
