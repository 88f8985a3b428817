/// Checks of versions, operators, names and priorities.
#include <map>
#include <set>

#include "base/json_pointer.h"
#include "bundle/cross_checks.h"
#include "bundle/ed25519.h"

namespace gorsetrail::bundle {
namespace {

/// Reports each name that stood earlier in the same list.
class DuplicateFinder {
 public:
  DuplicateFinder(std::string listPath, CheckReport& report)
      : listPath_(std::move(listPath)), report_(report) {}

  void note(std::size_t index, const std::string& name, const char* key) {
    if (name.empty()) {
      return;
    }
    const auto [first, isNew] = firstIndex_.emplace(name, index);
    if (!isNew) {
      const std::string item = childPath(listPath_, index);
      report_.add(*key == '\0' ? item : childPath(item, key),
                  "\"" + name + "\" stands at " + childPath(listPath_, first->second) + " already",
                  "rename or remove one of the two");
    }
  }

 private:
  std::string listPath_;
  CheckReport& report_;
  std::map<std::string, std::size_t> firstIndex_;
};

template <class Item>
void checkNamesOf(const std::vector<Item>& items, const std::string& path, CheckReport& report) {
  DuplicateFinder finder(path, report);
  for (std::size_t index = 0; index < items.size(); ++index) {
    finder.note(index, items[index].name, "name");
  }
}

void checkTexts(const std::vector<std::string>& texts, const std::string& path,
                CheckReport& report) {
  DuplicateFinder finder(path, report);
  for (std::size_t index = 0; index < texts.size(); ++index) {
    finder.note(index, texts[index], "");
  }
}

void checkPublicKeys(const Bundle& bundle, CheckReport& report) {
  // One key under two names would let one operator sign twice.
  DuplicateFinder finder("/operators", report);
  for (std::size_t index = 0; index < bundle.operators.size(); ++index) {
    const std::string& key = bundle.operators[index].publicKey;
    finder.note(index, key, "public_key");
    if (!key.empty() && !isUsablePublicKey(key)) {
      report.add(childPath(childPath("/operators", index), "public_key"),
                 "this is no usable Ed25519 public key (32 bytes in base64)",
                 "copy the public_key that `gorsetrail keygen` printed");
    }
  }
}

const Priority* aboveOf(const Bundle& bundle, const Priority& priority) {
  return priority.above.empty() ? nullptr : bundle.findPriority(priority.above);
}

bool isInCycle(const Bundle& bundle, const Priority& start) {
  const Priority* current = aboveOf(bundle, start);
  for (std::size_t step = 0; current != nullptr && step < bundle.priorities.size(); ++step) {
    if (current->name == start.name) {
      return true;
    }
    current = aboveOf(bundle, *current);
  }
  return false;
}

}  // namespace

void checkVersionAndOperators(const Bundle& bundle, CheckReport& report) {
  if (bundle.version.value() != 0 && bundle.version <= bundle.base) {
    report.add(
        "/version",
        "version " + std::to_string(bundle.version.value()) + " is not above its base " +
            std::to_string(bundle.base.value()),
        "give a version above the base, usually " + std::to_string(bundle.base.next().value()));
  }
  if (bundle.base.value() == 0 && !bundle.baseDigest.empty()) {
    report.add("/base_digest", "the first bundle has no base", "remove base_digest");
  }
  if (!bundle.operators.empty() && bundle.signaturesNeeded > bundle.operators.size()) {
    report.add("/signatures_needed",
               "there are only " + std::to_string(bundle.operators.size()) + " operators",
               "need at most that many signatures, or add operators");
  }
  checkPublicKeys(bundle, report);
}

void checkDuplicateNames(const Bundle& bundle, CheckReport& report) {
  checkNamesOf(bundle.operators, "/operators", report);
  checkNamesOf(bundle.models, "/models", report);
  checkNamesOf(bundle.adapters, "/adapters", report);
  checkNamesOf(bundle.priorities, "/priorities", report);
  checkNamesOf(bundle.backends, "/back_ends", report);
  checkNamesOf(bundle.works, "/works", report);
  checkNamesOf(bundle.tenants, "/tenants", report);
  for (std::size_t index = 0; index < bundle.works.size(); ++index) {
    checkTexts(bundle.works[index].backends, childPath(childPath("/works", index), "back_ends"),
               report);
  }
  for (std::size_t index = 0; index < bundle.tenants.size(); ++index) {
    checkTexts(bundle.tenants[index].works, childPath(childPath("/tenants", index), "works"),
               report);
  }
}

void checkPriorities(const Bundle& bundle, CheckReport& report) {
  for (std::size_t index = 0; index < bundle.priorities.size(); ++index) {
    const Priority& priority = bundle.priorities[index];
    const std::string path = childPath(childPath("/priorities", index), "above");
    if (!priority.above.empty() && bundle.findPriority(priority.above) == nullptr) {
      report.add(path, "there is no priority \"" + priority.above + "\"",
                 "add it to /priorities or name another");
    } else if (!priority.name.empty() && isInCycle(bundle, priority)) {
      report.add(path, "\"" + priority.name + "\" goes before itself by way of its `above`",
                 "remove one `above` of the cycle");
    }
  }
}

}  // namespace gorsetrail::bundle
