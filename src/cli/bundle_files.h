/// \file Bundles, envelopes and settings as files.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "base/result.h"
#include "bundle/bundle_holder.h"
#include "cli/report.h"

namespace gorsetrail::cli {

/// A file that holds a bundle, signed or not.
struct BundleFile {
  bundle::SignedBundle content;  ///< Without signatures when the file is a plain bundle.
  bool isEnvelope = false;
  std::string bytes;  ///< The whole file.
};

/// \return the file, not yet checked as a bundle, or `InvalidField` / `InvalidBundle`.
Result<BundleFile> loadBundleFile(const std::string& path);

/// \return every error of a bundle's text, each with the file's name in front of its path; empty
/// when it is right.
std::vector<Error> checkBundleText(const std::string& path, const std::string& bundleJson);

/// \return a bundle's JSON with its keys in the file's order; only for texts that were checked.
OrderedJson orderedJsonOf(const std::string& bundleJson);

/// Turns a checked bundle into its successor: version, base and base_digest; all else stays.
OrderedJson nextVersionOf(const std::string& bundleJson);

/// What a node must know before its first bundle.
struct SiteTrust {
  std::string site;
  std::vector<bundle::Operator> operators;
};

/// Reads `site` and `trust` from a JSON file; other keys are passed over, so that a node's settings
/// file will do.
Result<SiteTrust> loadSiteTrust(const std::string& path);

}  // namespace gorsetrail::cli
