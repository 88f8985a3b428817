/// Checks of models, adapters and back ends.
#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

#include "base/json_pointer.h"
#include "bundle/cross_checks.h"

namespace gorsetrail::bundle {
namespace {

bool hasModel(const Bundle& bundle, const std::string& name) {
  return std::any_of(bundle.models.begin(), bundle.models.end(),
                     [&name](const Model& model) { return model.name == name; });
}

void checkModelName(const Bundle& bundle, const std::string& model, const std::string& path,
                    CheckReport& report) {
  if (!model.empty() && !hasModel(bundle, model)) {
    report.add(path, "there is no model \"" + model + "\"", "add it to /models or name another");
  }
}

void checkModelIsRun(const Bundle& bundle, std::size_t index, CheckReport& report) {
  const std::string& name = bundle.models[index].name;
  const bool isRun =
      std::any_of(bundle.backends.begin(), bundle.backends.end(), [&name](const Backend& backend) {
        return backend.kind == BackendKind::Engine && backend.model == name;
      });
  if (!name.empty() && !isRun) {
    report.add(childPath("/models", index), "no back end runs the model \"" + name + "\"",
               "add an engine to /back_ends with this model, or remove the model");
  }
}

void checkBackend(const Bundle& bundle, std::size_t index, CheckReport& report) {
  const Backend& backend = bundle.backends[index];
  const std::string path = childPath("/back_ends", index);
  if (!backend.address.empty() && !isUsableAddress(backend.address)) {
    report.add(childPath(path, "address"),
               "\"" + backend.address + "\" is no address that a node can connect to",
               "give ip:port or [ipv6]:port with a port from 1 to 65535");
  }
  if (backend.kind == BackendKind::Application && !backend.model.empty()) {
    report.add(childPath(path, "model"), "an application runs no model",
               "remove `model` or make the back end an engine");
    return;
  }
  if (backend.kind == BackendKind::Engine && backend.model.empty()) {
    report.add(path, "an engine needs a model", "add `model`, or make it an application");
  }
  checkModelName(bundle, backend.model, childPath(path, "model"), report);
}

bool isUsablePort(const std::string& text) {
  constexpr unsigned kLargestPort = 65535;
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const auto [next, failure] = std::from_chars(text.data(), end, port);
  return failure == std::errc() && next == end && port >= 1 && port <= kLargestPort;
}

bool isIpv4(const std::string& text) {
  in_addr address{};
  return inet_pton(AF_INET, text.c_str(), &address) == 1 && address.s_addr != INADDR_ANY;
}

bool isIpv6(const std::string& text) {
  in6_addr address{};
  return inet_pton(AF_INET6, text.c_str(), &address) == 1 && IN6_IS_ADDR_UNSPECIFIED(&address) == 0;
}

}  // namespace

bool isUsableAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  // inet_pton stops at a zero byte; a text with one inside must not pass as its first part.
  if (colon == std::string::npos || address.find('\0') != std::string::npos ||
      !isUsablePort(address.substr(colon + 1))) {
    return false;
  }
  const std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return isIpv6(host.substr(1, host.size() - 2));
  }
  return isIpv4(host);
}

void checkModelsAndBackends(const Bundle& bundle, CheckReport& report) {
  for (std::size_t index = 0; index < bundle.models.size(); ++index) {
    checkModelIsRun(bundle, index, report);
  }
  for (std::size_t index = 0; index < bundle.adapters.size(); ++index) {
    checkModelName(bundle, bundle.adapters[index].model,
                   childPath(childPath("/adapters", index), "model"), report);
  }
  for (std::size_t index = 0; index < bundle.backends.size(); ++index) {
    checkBackend(bundle, index, report);
  }
}

}  // namespace gorsetrail::bundle
