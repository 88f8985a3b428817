#include "node/core/prompt_prefix.h"

#include <nlohmann/json.hpp>

namespace gorsetrail::node {
namespace {

/// Without blanks and with sorted keys: one text for equal messages.
std::string canonicalText(const nlohmann::json& document) {
  return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

std::optional<engine::PrefixCursor> promptPrefixOf(std::string_view model, std::string_view adapter,
                                                   std::string_view messages) {
  const nlohmann::json document = nlohmann::json::parse(messages, nullptr, false);
  if (!document.is_array()) {
    return std::nullopt;
  }
  std::string text = canonicalText(document);
  text.pop_back();
  engine::PrefixCursor prefix(kCacheBlockTokens);
  prefix.append(model);
  prefix.append("\n");
  prefix.append(adapter);
  prefix.append("\n");
  prefix.append(text);
  return prefix;
}

scheduling::PrefixHash prefixWithAnswer(engine::PrefixCursor prompt, const std::string& answer) {
  prompt.append(",");
  prompt.append(canonicalText({{"role", "assistant"}, {"content", answer}}));
  return prompt.last();
}

}  // namespace gorsetrail::node
