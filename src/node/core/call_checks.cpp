#include "node/core/call_checks.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace gorsetrail::node {
namespace {

/// Bytes of text that make one token, on average; engines count exactly.
constexpr std::size_t kBytesPerToken = 4;

std::uint32_t estimatedTokens(const std::string& text) {
  return static_cast<std::uint32_t>((text.size() + kBytesPerToken - 1) / kBytesPerToken);
}

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::uint32_t contextTokensOf(const bundle::Bundle& bundle, const std::string& modelName) {
  for (const bundle::Model& model : bundle.models) {
    if (model.name == modelName) {
      return model.contextTokens;
    }
  }
  return 0;
}

std::optional<Error> checkTenant(const engine::CallRequest& request, const bundle::Tenant* tenant,
                                 const bundle::Work* work) {
  if (tenant == nullptr) {
    return Error{ErrorKind::UnknownTenant, "Gorsetrail-Tenant",
                 "no tenant '" + request.key.tenant + "' in the bundle in force",
                 "name a tenant of the bundle, or have an operator add it"};
  }
  if (work == nullptr) {
    return Error{ErrorKind::UnknownModel, "model",
                 "no work '" + request.work + "' in the bundle in force",
                 "name a work of the bundle, or have an operator add it"};
  }
  if (!contains(tenant->works, work->name)) {
    return Error{ErrorKind::WorkNotAllowed, "model",
                 "tenant '" + tenant->name + "' may not ask for '" + work->name + "'",
                 "ask for one of the tenant's works, or have an operator allow it"};
  }
  return std::nullopt;
}

std::optional<Error> checkRequestId(const engine::CallRequest& request, bool repeatable) {
  if (!repeatable && request.idempotencyKey.empty()) {
    return Error{ErrorKind::MissingField, "Idempotency-Key",
                 "work that may not be repeated needs a request id",
                 "give a request id, and keep it when asking again"};
  }
  return std::nullopt;
}

std::optional<Error> checkTokens(const engine::CallRequest& request, const bundle::Bundle& bundle,
                                 const bundle::Work& work) {
  if (work.kind != bundle::BackendKind::Engine) {
    return std::nullopt;
  }
  if (request.maximumTokens == 0) {
    return Error{ErrorKind::MissingField, "max_tokens",
                 "an engine's work needs the most tokens that it may answer",
                 "give max_tokens, at least 1"};
  }
  const std::uint64_t context = contextTokensOf(bundle, work.model);
  const std::uint64_t prompt = estimatedTokens(request.messages);
  if (context > 0 && prompt + request.maximumTokens > context) {
    return Error{ErrorKind::InvalidField, "max_tokens",
                 "about " + std::to_string(prompt) + " prompt tokens and max_tokens " +
                     std::to_string(request.maximumTokens) + " exceed the context of " +
                     std::to_string(context) + " tokens",
                 "lower max_tokens or shorten the messages"};
  }
  return std::nullopt;
}

program::CallAdmission makeAdmission(engine::CallRequest& request, const bundle::Tenant& tenant,
                                     bool repeatable, Instant now) {
  program::CallAdmission admission;
  admission.handle = request.handle;
  admission.key = request.key;
  admission.branchPath = std::move(request.branchPath);
  admission.idempotencyKey = std::move(request.idempotencyKey);
  admission.repeatable = repeatable;
  admission.content = contentDigestOf(request.body);
  admission.messages = std::move(request.messages);
  admission.deadline = now + request.timeLimit;
  admission.limits.calls = tenant.budget.callsPerProgram;
  admission.limits.tokens = tenant.budget.tokensPerProgram;
  admission.limits.seconds = tenant.budget.secondsPerProgram;
  return admission;
}

engine::CallPlan makePlan(engine::CallRequest& request, const bundle::Bundle& bundle,
                          const bundle::Work& work, bool repeatable) {
  engine::CallPlan plan;
  plan.handle = request.handle;
  plan.repeatable = repeatable;
  plan.application = work.kind == bundle::BackendKind::Application;
  plan.mode = request.mode;
  plan.body = std::move(request.body);
  plan.model = work.model;
  plan.adapter = work.adapter;
  const bundle::Priority* const priority = bundle.findPriority(work.priority);
  plan.priorityLevel = priority == nullptr ? 0 : priority->level;
  plan.maximumTokens = plan.application ? 0 : request.maximumTokens;
  return plan;
}

}  // namespace

Result<CheckedCall> checkCall(engine::CallRequest request, const bundle::Bundle& bundle,
                              Instant now) {
  const bundle::Tenant* const tenant = bundle.findTenant(request.key.tenant);
  const bundle::Work* const work = bundle.findWork(request.work);
  if (auto error = checkTenant(request, tenant, work)) {
    return *std::move(error);
  }
  // The bundle's word that work may not be repeated holds whatever the caller says.
  const bool repeatable = request.repeatable && work->repeatable;
  if (auto error = checkRequestId(request, repeatable)) {
    return *std::move(error);
  }
  if (auto error = checkTokens(request, bundle, *work)) {
    return *std::move(error);
  }
  CheckedCall checked;
  checked.work = work->name;
  const std::uint32_t promptTokens =
      work->kind == bundle::BackendKind::Engine ? estimatedTokens(request.messages) : 0;
  checked.admission = makeAdmission(request, *tenant, repeatable, now);
  checked.plan = makePlan(request, bundle, *work, repeatable);
  checked.plan.promptTokens = promptTokens;
  checked.plan.deadline = checked.admission.deadline;
  checked.reservedTokens = std::uint64_t{promptTokens} + checked.plan.maximumTokens;
  checked.admission.maximumTokens = static_cast<std::uint32_t>(checked.reservedTokens);
  return checked;
}

}  // namespace gorsetrail::node
