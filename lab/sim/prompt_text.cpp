#include "lab/sim/prompt_text.h"

#include <nlohmann/json.hpp>

namespace gorsetrail::sim {

std::string cachedTextOf(const engine::StartDispatch& command, const std::string& answer) {
  const nlohmann::json body = nlohmann::json::parse(command.body, nullptr, false);
  std::string messages =
      body.is_object() ? body.value("messages", nlohmann::json::array()).dump() : std::string("[]");
  messages.pop_back();
  std::string text = command.model + "\n" + command.adapter + "\n" + messages;
  if (!answer.empty()) {
    text += R"(,{"content":")" + answer + R"(","role":"assistant"})";
  }
  return text;
}

}  // namespace gorsetrail::sim
