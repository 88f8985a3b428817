#include "lab/load/load_config.h"

#include <nlohmann/json.hpp>

#include "lab/config/json_config.h"
#include "lab/config/json_values.h"
#include "lab/load/load_schema.h"

namespace gorsetrail::load {
namespace {

using lab::read;
using lab::readSpan;
using nlohmann::json;

void readRange(const json& document, const char* key, Range& target) {
  if (document.contains(key)) {
    target = {document[key][0].get<std::uint32_t>(), document[key][1].get<std::uint32_t>()};
  }
}

NodeAddress nodeOf(const json& document) {
  NodeAddress node;
  read(document, "node", node.node);
  read(document, "zone", node.zone);
  read(document, "callers", node.callers);
  read(document, "planned_stop", node.plannedStop);
  return node;
}

TenantLoad tenantOf(const json& document) {
  TenantLoad tenant;
  read(document, "name", tenant.name);
  read(document, "calls_per_program", tenant.callsPerProgram);
  read(document, "tokens_per_program", tenant.tokensPerProgram);
  return tenant;
}

Workload workloadOf(const json& document) {
  Workload workload;
  read(document, "programs", workload.programs);
  read(document, "concurrency", workload.concurrency);
  readSpan<milliseconds>(document, "maximum_ms", workload.maximumTime);
  readRange(document, "turns", workload.turns);
  readRange(document, "first_prompt_bytes", workload.firstPromptBytes);
  readRange(document, "turn_bytes", workload.turnBytes);
  read(document, "shared_prefix_bytes", workload.sharedPrefixBytes);
  read(document, "maximum_tokens", workload.maximumTokens);
  read(document, "stream_per_mille", workload.streamPerMille);
  read(document, "tool_per_mille", workload.toolPerMille);
  read(document, "branch_per_mille", workload.branchPerMille);
  read(document, "application_per_mille", workload.applicationPerMille);
  read(document, "repeat_per_mille", workload.repeatPerMille);
  read(document, "looping_programs", workload.loopingPrograms);
  read(document, "looping_tenant", workload.loopingTenant);
  readSpan<milliseconds>(document, "call_time_limit_ms", workload.callTimeLimit);
  readSpan<milliseconds>(document, "tool_time_limit_ms", workload.toolTimeLimit);
  read(document, "maximum_attempts", workload.maximumAttempts);
  return workload;
}

LeavingTest leavingTestOf(const json& document) {
  LeavingTest test;
  read(document, "engine", test.engine);
  readSpan<milliseconds>(document, "after_ms", test.after);
  readSpan<milliseconds>(document, "grace_ms", test.grace);
  readSpan<milliseconds>(document, "watch_ms", test.watch);
  return test;
}

SiteLoad siteOf(const json& document) {
  SiteLoad site;
  read(document, "name", site.name);
  for (const json& node : document["nodes"]) {
    site.nodes.push_back(nodeOf(node));
  }
  for (const json& tenant : document["tenants"]) {
    site.tenants.push_back(tenantOf(tenant));
  }
  read(document, "engines", site.engines);
  read(document, "applications", site.applications);
  read(document, "tools", site.tools);
  read(document, "engine_works", site.engineWorks);
  read(document, "application_works", site.applicationWorks);
  site.workload = workloadOf(document.value("workload", json::object()));
  if (document.contains("leaving_test")) {
    site.leavingTest = leavingTestOf(document["leaving_test"]);
  }
  return site;
}

bool isOrdered(const Range& range) { return range.minimum <= range.maximum; }

/// Checks what a schema cannot say.
Result<Success> checkSite(const SiteLoad& site) {
  const Workload& workload = site.workload;
  if (!isOrdered(workload.turns) || !isOrdered(workload.firstPromptBytes) ||
      !isOrdered(workload.turnBytes)) {
    return Error{ErrorKind::InvalidSettings, site.name + " workload",
                 "a range ends below its start",
                 "put the smaller number of turns, first_prompt_bytes and turn_bytes first"};
  }
  for (const TenantLoad& tenant : site.tenants) {
    if (workload.loopingTenant.empty() || workload.loopingTenant == tenant.name) {
      return Success{};
    }
  }
  return Error{ErrorKind::InvalidSettings, site.name + " looping_tenant", "not one of tenants",
               "name one of the site's tenants"};
}

Result<LoadConfig> configOf(const json& document) {
  LoadConfig config;
  read(document, "seed", config.seed);
  readSpan<milliseconds>(document, "bundle_grace_ms", config.bundleGrace);
  readSpan<milliseconds>(document, "holds_empty_after_ms", config.holdsEmptyAfter);
  readSpan<milliseconds>(document, "status_interval_ms", config.statusInterval);
  for (const json& site : document["sites"]) {
    config.sites.push_back(siteOf(site));
    const Result<Success> checked = checkSite(config.sites.back());
    if (!succeeded(checked)) {
      return errorOf(checked);
    }
  }
  return config;
}

}  // namespace

Result<LoadConfig> parseLoadConfig(std::string_view text, const std::string& source) {
  const Result<json> document = lab::checkJson(text, kLoadSchema, source);
  return succeeded(document) ? configOf(valueOf(document)) : errorOf(document);
}

Result<LoadConfig> readLoadConfig(const std::string& path) {
  const Result<json> document = lab::readJsonFile(path, kLoadSchema);
  return succeeded(document) ? configOf(valueOf(document)) : errorOf(document);
}

}  // namespace gorsetrail::load
