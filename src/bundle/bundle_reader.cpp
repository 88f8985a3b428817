#include "bundle/bundle_reader.h"

#include <algorithm>
#include <limits>

namespace gorsetrail::bundle {
namespace {

using nlohmann::json;

const json* find(const json& object, const char* key) {
  if (!object.is_object()) {
    return nullptr;
  }
  const auto found = object.find(key);
  return found == object.end() ? nullptr : &*found;
}

std::string textAt(const json& object, const char* key) {
  const json* value = find(object, key);
  return value != nullptr && value->is_string() ? value->get<std::string>() : std::string();
}

std::uint64_t numberAt(const json& object, const char* key) {
  const json* value = find(object, key);
  return value != nullptr && value->is_number_unsigned() ? value->get<std::uint64_t>() : 0;
}

std::uint32_t smallNumberAt(const json& object, const char* key) {
  constexpr std::uint64_t kLargest = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(numberAt(object, key), kLargest));
}

bool flagAt(const json& object, const char* key, bool whenAbsent) {
  const json* value = find(object, key);
  return value != nullptr && value->is_boolean() ? value->get<bool>() : whenAbsent;
}

BackendKind kindAt(const json& object) {
  return textAt(object, "kind") == "application" ? BackendKind::Application : BackendKind::Engine;
}

template <class Item, class ReadItem>
std::vector<Item> listAt(const json& object, const char* key, ReadItem readItem) {
  std::vector<Item> items;
  const json* value = find(object, key);
  if (value != nullptr && value->is_array()) {
    items.reserve(value->size());
    for (const json& element : *value) {
      items.push_back(readItem(element));
    }
  }
  return items;
}

std::string readText(const json& element) {
  return element.is_string() ? element.get<std::string>() : std::string();
}

Operator readOperator(const json& element) {
  return Operator{textAt(element, "name"), textAt(element, "public_key")};
}

Model readModel(const json& element) {
  return Model{textAt(element, "name"), smallNumberAt(element, "context_tokens")};
}

Adapter readAdapter(const json& element) {
  return Adapter{textAt(element, "name"), textAt(element, "model")};
}

Priority readPriority(const json& element) {
  return Priority{textAt(element, "name"), textAt(element, "above"), 0};
}

Backend readBackend(const json& element) {
  Backend backend;
  backend.name = textAt(element, "name");
  backend.kind = kindAt(element);
  backend.zone = textAt(element, "zone");
  backend.address = textAt(element, "address");
  backend.model = textAt(element, "model");
  backend.leaving = flagAt(element, "leaving", false);
  return backend;
}

Work readWork(const json& element) {
  Work work;
  work.name = textAt(element, "name");
  work.kind = kindAt(element);
  work.model = textAt(element, "model");
  work.adapter = textAt(element, "adapter");
  work.priority = textAt(element, "priority");
  work.repeatable = flagAt(element, "repeatable", false);
  work.backends = listAt<std::string>(element, "back_ends", readText);
  return work;
}

TenantBudget readBudget(const json& element) {
  return TenantBudget{
      smallNumberAt(element, "calls_per_program"), numberAt(element, "tokens_per_program"),
      smallNumberAt(element, "seconds_per_program"), numberAt(element, "tokens_per_minute")};
}

Tenant readTenant(const json& element) {
  Tenant tenant;
  tenant.name = textAt(element, "name");
  tenant.works = listAt<std::string>(element, "works", readText);
  const json* budget = find(element, "budget");
  if (budget != nullptr) {
    tenant.budget = readBudget(*budget);
  }
  return tenant;
}

}  // namespace

Bundle readBundle(const json& document) {
  Bundle bundle;
  bundle.site = textAt(document, "site");
  bundle.version = BundleVersion(numberAt(document, "version"));
  bundle.base = BundleVersion(numberAt(document, "base"));
  bundle.baseDigest = textAt(document, "base_digest");
  const json* weight = find(document, "latency_weight");
  if (weight != nullptr && weight->is_number()) {
    bundle.latencyWeight = weight->get<double>();
  }
  bundle.signaturesNeeded = smallNumberAt(document, "signatures_needed");
  bundle.operators = listAt<Operator>(document, "operators", readOperator);
  bundle.models = listAt<Model>(document, "models", readModel);
  bundle.adapters = listAt<Adapter>(document, "adapters", readAdapter);
  bundle.priorities = listAt<Priority>(document, "priorities", readPriority);
  bundle.backends = listAt<Backend>(document, "back_ends", readBackend);
  bundle.works = listAt<Work>(document, "works", readWork);
  bundle.tenants = listAt<Tenant>(document, "tenants", readTenant);
  return bundle;
}

}  // namespace gorsetrail::bundle
