/// \file Gathers the errors of the cross-checks.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "base/error.h"

namespace gorsetrail::bundle {

/// Errors found so far, in the order of the checks.
class CheckReport {
 public:
  /// \param path JSON pointer of the value at fault.
  void add(std::string path, std::string reason, std::string remedy) {
    errors_.push_back(
        Error{ErrorKind::InvalidBundle, std::move(path), std::move(reason), std::move(remedy)});
  }

  std::vector<Error> take() { return std::move(errors_); }

 private:
  std::vector<Error> errors_;
};

}  // namespace gorsetrail::bundle
