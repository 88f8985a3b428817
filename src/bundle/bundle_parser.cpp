#include <utility>

#include "bundle/bundle_holder.h"
#include "bundle/bundle_reader.h"
#include "bundle/cross_checks.h"
#include "bundle/json_text.h"
#include "bundle/limits.h"
#include "bundle/schema_check.h"

namespace gorsetrail::bundle {
namespace {

/// A priority's level is the number of priorities below it; the checks exclude cycles.
void computePriorityLevels(Bundle& bundle) {
  for (Priority& priority : bundle.priorities) {
    const Priority* below = bundle.findPriority(priority.above);
    for (priority.level = 0; below != nullptr; ++priority.level) {
      below = bundle.findPriority(below->above);
    }
  }
}

std::vector<Error> crossCheck(const Bundle& bundle) {
  CheckReport report;
  checkVersionAndOperators(bundle, report);
  checkDuplicateNames(bundle, report);
  checkPriorities(bundle, report);
  checkModelsAndBackends(bundle, report);
  checkWorks(bundle, report);
  checkTenants(bundle, report);
  return report.take();
}

}  // namespace

std::variant<Bundle, std::vector<Error>> parseBundle(std::string_view json) {
  if (json.size() > kMaximumBundleBytes) {
    return std::vector<Error>{Error{ErrorKind::RequestTooLarge, "/",
                                    "the bundle has " + std::to_string(json.size()) +
                                        " bytes; at most " + std::to_string(kMaximumBundleBytes) +
                                        " fit a record of the log",
                                    "remove blanks or items that nothing uses"}};
  }
  std::variant<nlohmann::json, std::vector<Error>> text = parseJsonText(json);
  if (auto* errors = std::get_if<std::vector<Error>>(&text)) {
    return std::move(*errors);
  }
  const nlohmann::json& document = std::get<nlohmann::json>(text);
  std::vector<Error> errors = checkAgainstSchema(document);
  Bundle bundle = readBundle(document);
  if (document.is_object()) {
    std::vector<Error> misfits = crossCheck(bundle);
    errors.insert(errors.end(), misfits.begin(), misfits.end());
  }
  if (!errors.empty()) {
    return errors;
  }
  computePriorityLevels(bundle);
  return bundle;
}

}  // namespace gorsetrail::bundle
