#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "base/base64.h"
#include "base/json_pointer.h"
#include "bundle/bundle_holder.h"
#include "bundle/json_text.h"
#include "bundle/limits.h"

namespace gorsetrail::bundle {
namespace {

using nlohmann::json;

Error malformed(const std::string& field, const std::string& reason) {
  return Error{ErrorKind::InvalidBundle, field, reason,
               "give an envelope that `gorsetrail bundle sign` made"};
}

/// \return the text of a key, or null when it is missing or no text.
const std::string* textAt(const json& object, const char* key) {
  const auto found = object.find(key);
  return found == object.end() ? nullptr : found->get_ptr<const std::string*>();
}

Result<OperatorSignature> readSignature(const json& element, std::size_t index) {
  const std::string path = childPath("/signatures", index);
  if (!element.is_object() || element.size() != 2) {
    return malformed(path, "a signature has exactly `operator` and `signature`");
  }
  const std::string* name = textAt(element, "operator");
  const std::string* signature = textAt(element, "signature");
  if (name == nullptr || signature == nullptr) {
    return malformed(path, "`operator` and `signature` are texts");
  }
  return OperatorSignature{*name, *signature};
}

Result<SignedBundle> readEnvelope(const json& document) {
  if (!document.is_object() || document.size() != 2 || !document.contains("signatures")) {
    return malformed("/", "an envelope has exactly `bundle` and `signatures`");
  }
  const std::string* encoded = textAt(document, "bundle");
  std::optional<std::string> bytes = encoded == nullptr ? std::nullopt : decodeBase64(*encoded);
  if (!bytes) {
    return malformed("/bundle", "`bundle` is no base64 text");
  }
  const json& signatures = document["signatures"];
  if (!signatures.is_array() || signatures.size() > kMaximumSignatures) {
    return malformed("/signatures", "`signatures` is a list of at most " +
                                        std::to_string(kMaximumSignatures) + " items");
  }
  SignedBundle bundle;
  bundle.bundleJson = std::move(*bytes);
  for (std::size_t index = 0; index < signatures.size(); ++index) {
    Result<OperatorSignature> signature = readSignature(signatures[index], index);
    if (!succeeded(signature)) {
      return errorOf(signature);
    }
    bundle.signatures.push_back(std::move(valueOf(signature)));
  }
  return bundle;
}

}  // namespace

std::string encodeEnvelope(const SignedBundle& bundle) {
  json signatures = json::array();
  for (const OperatorSignature& signature : bundle.signatures) {
    signatures.push_back(
        {{"operator", signature.operatorName}, {"signature", signature.signature}});
  }
  const json envelope = {{"bundle", encodeBase64(bundle.bundleJson)},
                         {"signatures", std::move(signatures)}};
  return envelope.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<SignedBundle> decodeEnvelope(std::string_view text) {
  if (text.size() > kMaximumEnvelopeBytes) {
    return Error{ErrorKind::RequestTooLarge, "/",
                 "the envelope has " + std::to_string(text.size()) + " bytes",
                 "publish at most " + std::to_string(kMaximumEnvelopeBytes) + " bytes"};
  }
  const std::variant<json, std::vector<Error>> parsed = parseJsonText(text);
  if (const auto* errors = std::get_if<std::vector<Error>>(&parsed)) {
    return errors->front();
  }
  return readEnvelope(std::get<json>(parsed));
}

}  // namespace gorsetrail::bundle
