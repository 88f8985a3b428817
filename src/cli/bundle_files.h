/// \file Reads and checks bundle, envelope and settings files.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "base/result.h"
#include "bundle/bundle_holder.h"
#include "cli/report.h"

namespace gorsetrail::cli {

/// Content of a bundle file or of a signed envelope file.
struct BundleFile {
  bundle::SignedBundle content;  ///< Without signatures when the file is a plain bundle.
  bool isEnvelope = false;
  std::string bytes;  ///< The whole file.
};

/// Loads a file without validating its bundle; call `checkBundleText` for that.
/// \return `InvalidField` when the file is unreadable, `InvalidBundle` for a malformed envelope.
Result<BundleFile> loadBundleFile(const std::string& path);

/// \return all validation errors, each field prefixed with the file's path; empty when the bundle
/// is valid.
std::vector<Error> checkBundleText(const std::string& path, const std::string& bundleJson);

/// \return the parsed bundle with its keys in file order; `bundleJson` must have been validated.
OrderedJson parseOrderedJson(const std::string& bundleJson);

/// \return a copy of a validated bundle with `version`, `base` and `base_digest` set for the next
/// version.
OrderedJson makeNextVersion(const std::string& bundleJson);

/// Site name and trust anchors that validate the first bundle.
struct SiteTrust {
  std::string site;
  std::vector<bundle::Operator> operators;
};

/// Reads `site` and `trust` from a JSON file; other keys are ignored, so that a node's settings
/// file can be used.
Result<SiteTrust> loadSiteTrust(const std::string& path);

}  // namespace gorsetrail::cli
