/// Checks of works and tenants.
#include <algorithm>

#include "base/json_pointer.h"
#include "bundle/cross_checks.h"

namespace gorsetrail::bundle {
namespace {

constexpr std::uint64_t kSecondsPerMinute = 60;

template <class Item>
const Item* findItem(const std::vector<Item>& items, const std::string& name) {
  const auto found = std::find_if(items.begin(), items.end(),
                                  [&name](const Item& item) { return item.name == name; });
  return found == items.end() ? nullptr : &*found;
}

void checkWorkModel(const Bundle& bundle, const Work& work, const std::string& path,
                    CheckReport& report) {
  if (work.kind == BackendKind::Application) {
    if (!work.model.empty() || !work.adapter.empty()) {
      report.add(path, "application work has neither model nor adapter",
                 "remove `model` and `adapter`, or make it engine work");
    }
    return;
  }
  if (work.model.empty()) {
    report.add(path, "engine work needs a model", "add `model`, or make it application work");
  } else if (findItem(bundle.models, work.model) == nullptr) {
    report.add(childPath(path, "model"), "there is no model \"" + work.model + "\"",
               "add it to /models or name another");
  }
}

void checkWorkAdapter(const Bundle& bundle, const Work& work, const std::string& path,
                      CheckReport& report) {
  if (work.adapter.empty() || work.kind == BackendKind::Application) {
    return;
  }
  const Adapter* adapter = findItem(bundle.adapters, work.adapter);
  if (adapter == nullptr) {
    report.add(childPath(path, "adapter"), "there is no adapter \"" + work.adapter + "\"",
               "add it to /adapters or name another");
  } else if (!work.model.empty() && adapter->model != work.model) {
    report.add(childPath(path, "adapter"),
               "adapter \"" + work.adapter + "\" is for model \"" + adapter->model +
                   "\", not for \"" + work.model + "\"",
               "name an adapter of the work's model");
  }
}

void checkWorkBackend(const Work& work, const Backend& backend, const std::string& path,
                      CheckReport& report) {
  if (backend.kind != work.kind) {
    report.add(path, "back end \"" + backend.name + "\" is of the other kind than the work",
               "name a back end of the work's kind");
  } else if (work.kind == BackendKind::Engine && !work.model.empty() &&
             backend.model != work.model) {
    report.add(path,
               "back end \"" + backend.name + "\" runs model \"" + backend.model + "\", not \"" +
                   work.model + "\"",
               "name a back end that runs the work's model");
  }
}

void checkWorkBackends(const Bundle& bundle, const Work& work, const std::string& path,
                       CheckReport& report) {
  bool mayBeServed = false;
  for (std::size_t index = 0; index < work.backends.size(); ++index) {
    const std::string& name = work.backends[index];
    const std::string itemPath = childPath(path, index);
    const Backend* backend = bundle.findBackend(name);
    if (backend != nullptr) {
      checkWorkBackend(work, *backend, itemPath, report);
      mayBeServed = mayBeServed || !backend->leaving;
    } else if (!name.empty()) {
      report.add(itemPath, "there is no back end \"" + name + "\"",
                 "add it to /back_ends or name another");
    }
  }
  if (!mayBeServed) {
    report.add(path, "nothing may serve the work \"" + work.name + "\": no back end stays",
               "name a back end that exists and is not leaving, or remove the work");
  }
}

void checkWork(const Bundle& bundle, std::size_t index, CheckReport& report) {
  const Work& work = bundle.works[index];
  const std::string path = childPath("/works", index);
  checkWorkModel(bundle, work, path, report);
  checkWorkAdapter(bundle, work, path, report);
  if (!work.priority.empty() && bundle.findPriority(work.priority) == nullptr) {
    report.add(childPath(path, "priority"), "there is no priority \"" + work.priority + "\"",
               "add it to /priorities or name another");
  }
  checkWorkBackends(bundle, work, childPath(path, "back_ends"), report);
}

/// \return the longest context that the tenant's engine work may fill; 0 without engine work.
std::uint64_t longestContext(const Bundle& bundle, const Tenant& tenant) {
  std::uint64_t longest = 0;
  for (const std::string& name : tenant.works) {
    const Work* work = bundle.findWork(name);
    const Model* model = work == nullptr ? nullptr : findItem(bundle.models, work->model);
    if (model != nullptr) {
      longest = std::max<std::uint64_t>(longest, model->contextTokens);
    }
  }
  return longest;
}

void checkBudget(const Bundle& bundle, const Tenant& tenant, const std::string& path,
                 CheckReport& report) {
  const TenantBudget& budget = tenant.budget;
  if (budget.callsPerProgram == 0 || budget.tokensPerProgram == 0 ||
      budget.secondsPerProgram == 0 || budget.tokensPerMinute == 0) {
    return;  // Reported by the schema check.
  }
  const std::string tokens = std::to_string(budget.tokensPerProgram);
  const std::uint64_t minutes =
      (budget.secondsPerProgram + kSecondsPerMinute - 1) / kSecondsPerMinute;
  if (budget.tokensPerProgram / minutes > budget.tokensPerMinute ||
      (budget.tokensPerProgram / minutes == budget.tokensPerMinute &&
       budget.tokensPerProgram % minutes != 0)) {
    report.add(childPath(path, "tokens_per_program"),
               "a program of " + std::to_string(budget.secondsPerProgram) +
                   " s can never get its " + tokens + " tokens at " +
                   std::to_string(budget.tokensPerMinute) + " tokens a minute",
               "lower tokens_per_program or raise tokens_per_minute or seconds_per_program");
  }
  const std::uint64_t context = longestContext(bundle, tenant);
  if (context != 0 && budget.tokensPerProgram / budget.callsPerProgram > context) {
    report.add(childPath(path, "tokens_per_program"),
               std::to_string(budget.callsPerProgram) + " calls of at most " +
                   std::to_string(context) + " tokens of context can never use " + tokens +
                   " tokens",
               "lower tokens_per_program or raise calls_per_program");
  }
}

void checkTenant(const Bundle& bundle, std::size_t index, CheckReport& report) {
  const Tenant& tenant = bundle.tenants[index];
  const std::string path = childPath("/tenants", index);
  for (std::size_t item = 0; item < tenant.works.size(); ++item) {
    const std::string& name = tenant.works[item];
    if (!name.empty() && bundle.findWork(name) == nullptr) {
      report.add(childPath(childPath(path, "works"), item), "there is no work \"" + name + "\"",
                 "add it to /works or name another");
    }
  }
  checkBudget(bundle, tenant, childPath(path, "budget"), report);
}

}  // namespace

void checkWorks(const Bundle& bundle, CheckReport& report) {
  for (std::size_t index = 0; index < bundle.works.size(); ++index) {
    checkWork(bundle, index, report);
  }
}

void checkTenants(const Bundle& bundle, CheckReport& report) {
  for (std::size_t index = 0; index < bundle.tenants.size(); ++index) {
    checkTenant(bundle, index, report);
  }
}

}  // namespace gorsetrail::bundle
