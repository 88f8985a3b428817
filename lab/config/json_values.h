/// \file Reads the optional keys of a checked JSON document: a key that is absent changes nothing.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

#include "base/time.h"

namespace gorsetrail::lab {

/// Sets `target` when the document has the key.
template <class Value>
void read(const nlohmann::json& document, const char* key, Value& target) {
  if (document.contains(key)) {
    target = document[key].get<Value>();
  }
}

/// Sets a span from a whole number in units of `Unit`.
template <class Unit>
void readSpan(const nlohmann::json& document, const char* key, Duration& target) {
  if (document.contains(key)) {
    target = Unit(document[key].get<std::int64_t>());
  }
}

}  // namespace gorsetrail::lab
