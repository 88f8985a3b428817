/// \file The settings' JSON Schema, embedded so that the daemon needs no file beside it.
#pragma once

#include <string_view>

namespace gorsetrail::node {

/// \return the text of `docs/settings.schema.json`, byte for byte (a test compares the two).
std::string_view settingsSchemaText();

}  // namespace gorsetrail::node
