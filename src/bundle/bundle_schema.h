/// \file The bundle's JSON Schema, embedded so that a check needs no file beside the program.
#pragma once

#include <string_view>

namespace gorsetrail::bundle {

/// \return the text of `docs/bundle.schema.json`, byte for byte (a test compares the two).
std::string_view bundleSchemaText();

}  // namespace gorsetrail::bundle
