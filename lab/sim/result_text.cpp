#include "lab/sim/result_text.h"

#include <nlohmann/json.hpp>
#include <sstream>

namespace gorsetrail::sim {
namespace {

double secondsOf(Instant at) { return toMilliseconds(at - Instant{}) / 1000.0; }

}  // namespace

std::string resultJson(const RunResult& result) {
  nlohmann::ordered_json violations = nlohmann::ordered_json::array();
  for (const Violation& violation : result.violations) {
    violations.push_back({{"promise", promiseName(violation.promise)},
                          {"at_s", secondsOf(violation.at)},
                          {"text", violation.text}});
  }
  const nlohmann::ordered_json document = {{"scenario", result.scenario},
                                           {"seed", result.seed},
                                           {"violations", violations},
                                           {"violation_count", result.violationCount},
                                           {"violations_by_promise", result.violationsByPromise},
                                           {"checks_by_promise", result.checksByPromise},
                                           {"figures", result.figures},
                                           {"digest", result.digest}};
  return document.dump(2);
}

std::string resultTable(const RunResult& result) {
  std::ostringstream text;
  text << result.scenario << " seed " << result.seed << " digest " << result.digest << "\n";
  for (const auto& [promise, checks] : result.checksByPromise) {
    text << "  " << promise << ": " << checks << " checks, "
         << result.violationsByPromise.at(promise) << " violations\n";
  }
  for (const auto& [name, value] : result.figures) {
    text << "  " << name << " = " << value << "\n";
  }
  for (const Violation& violation : result.violations) {
    text << "  VIOLATION " << promiseName(violation.promise) << " at " << secondsOf(violation.at)
         << " s: " << violation.text << "\n";
  }
  return text.str();
}

}  // namespace gorsetrail::sim
