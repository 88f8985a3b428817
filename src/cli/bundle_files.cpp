#include "cli/bundle_files.h"

#include <utility>

#include "bundle/bundle_digest.h"
#include "bundle/ed25519.h"
#include "cli/files.h"

namespace gorsetrail::cli {
namespace {

using nlohmann::json;

Error unusableSettings(const std::string& path, const std::string& reason) {
  return Error{ErrorKind::InvalidSettings, path, reason,
               "give a JSON file such as {\"site\": \"paino-lumo\", \"trust\": [{\"name\": "
               "\"operator-a\", \"public_key\": \"...\"}]}"};
}

std::string textAt(const json& object, const char* key) {
  return object.is_object() && object.contains(key) && object[key].is_string()
             ? object[key].get<std::string>()
             : std::string();
}

}  // namespace

Result<BundleFile> loadBundleFile(const std::string& path) {
  Result<std::string> bytes = readFile(path);
  if (!succeeded(bytes)) {
    return errorOf(bytes);
  }
  BundleFile file;
  file.bytes = std::move(valueOf(bytes));
  const json document = json::parse(file.bytes, nullptr, false);
  file.isEnvelope = document.is_object() && document.contains("signatures");
  if (!file.isEnvelope) {
    file.content.bundleJson = file.bytes;
    return file;
  }
  Result<bundle::SignedBundle> envelope = bundle::decodeEnvelope(file.bytes);
  if (!succeeded(envelope)) {
    Error error = errorOf(envelope);
    error.field = path + ":" + error.field;
    return error;
  }
  file.content = std::move(valueOf(envelope));
  return file;
}

std::vector<Error> checkBundleText(const std::string& path, const std::string& bundleJson) {
  auto parsed = bundle::parseBundle(bundleJson);
  auto* errors = std::get_if<std::vector<Error>>(&parsed);
  if (errors == nullptr) {
    return {};
  }
  for (Error& error : *errors) {
    error.field = path + ":" + error.field;
  }
  return std::move(*errors);
}

OrderedJson parseOrderedJson(const std::string& bundleJson) {
  return OrderedJson::parse(bundleJson, nullptr, false);
}

OrderedJson makeNextVersion(const std::string& bundleJson) {
  OrderedJson next = parseOrderedJson(bundleJson);
  const auto version = next["version"].get<std::uint64_t>();
  next["version"] = version + 1;
  next["base"] = version;
  next["base_digest"] = bundle::bundleDigest(bundleJson);
  return next;
}

Result<SiteTrust> loadSiteTrust(const std::string& path) {
  const Result<std::string> bytes = readFile(path);
  if (!succeeded(bytes)) {
    return errorOf(bytes);
  }
  const json document = json::parse(valueOf(bytes), nullptr, false);
  SiteTrust trust;
  trust.site = textAt(document, "site");
  if (trust.site.empty()) {
    return unusableSettings(path, "`site` is missing or not a string");
  }
  if (!document.contains("trust") || !document["trust"].is_array() || document["trust"].empty()) {
    return unusableSettings(path, "`trust` is missing or empty");
  }
  for (const json& element : document["trust"]) {
    bundle::Operator anchor{textAt(element, "name"), textAt(element, "public_key")};
    if (anchor.name.empty() || !bundle::isUsablePublicKey(anchor.publicKey)) {
      return unusableSettings(path, "an item of `trust` has no name or no usable public_key");
    }
    trust.operators.push_back(std::move(anchor));
  }
  return trust;
}

}  // namespace gorsetrail::cli
