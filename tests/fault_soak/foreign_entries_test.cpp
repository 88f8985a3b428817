// Entries of other writers: each kind is another one, and none is a whole registration.
#include "lab/faultsoak/foreign_entries.h"

#include <nlohmann/json.hpp>
#include <set>
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail::lab;

TEST_GROUP(ForeignEntries) {
  static std::string entry(std::size_t kind) { return foreignEntry(kind, "m", "127.0.0.1:9"); }
  static bool isUsable(const std::string& text) {
    const nlohmann::json read = nlohmann::json::parse(text, nullptr, false);
    return read.is_object() && read.value("/service"_json_pointer, nlohmann::json()) == "m" &&
           read.value("/address"_json_pointer, nlohmann::json()) == "127.0.0.1:9" &&
           read.value("/state"_json_pointer, nlohmann::json()) == "ready" &&
           read.value("/slots"_json_pointer, nlohmann::json()).is_number() &&
           read.value("/zone"_json_pointer, nlohmann::json()).is_string() &&
           read.value("/born"_json_pointer, nlohmann::json()).is_number();
  }
  using Json = nlohmann::json;
};

TEST(ForeignEntries, eachKindIsAnotherOne) {
  std::set<std::string> seen;
  for (std::size_t kind = 0; kind < foreignEntryKinds(); ++kind) {
    seen.insert(entry(kind));
  }
  LONGS_EQUAL(foreignEntryKinds(), seen.size());
}

TEST(ForeignEntries, noneIsAWholeRegistration) {
  for (std::size_t kind = 0; kind < foreignEntryKinds(); ++kind) {
    CHECK_FALSE(isUsable(entry(kind)));
  }
}
