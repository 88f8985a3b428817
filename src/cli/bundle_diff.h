/// \file Computes the differences between two bundles.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace gorsetrail::cli {

/// One difference. Items of lists are matched by their name, not by their position.
struct BundleChange {
  std::string path;    ///< Such as `/back_ends/lm-1/leaving`.
  std::string before;  ///< JSON text; empty when the value was added.
  std::string after;   ///< JSON text; empty when the value was removed.
};

/// \return the changes from one bundle to the other, sorted by path.
std::vector<BundleChange> diffBundles(const nlohmann::json& before, const nlohmann::json& after);

/// \return `~ path: before -> after`, `+ path: after` or `- path: before`.
std::string formatChange(const BundleChange& change);

}  // namespace gorsetrail::cli
