/// \file A promise that a soak found broken.
#pragma once

#include <string>

namespace gorsetrail::lab {

/// A promise that was broken, with the attempt that shows it.
struct SoakViolation {
  std::string promise;
  std::string attempt;
  std::string detail;
};

}  // namespace gorsetrail::lab
