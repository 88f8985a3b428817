#include "lab/sim/request_tag.h"

#include <charconv>
#include <cstdio>

namespace gorsetrail::sim {

std::string RequestTag::toText() const {
  return "[[" + program + "|" + branch + "|" + std::to_string(step) + "]]";
}

std::optional<RequestTag> lastTagIn(std::string_view text) {
  const std::size_t begin = text.rfind("[[");
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  const std::size_t end = text.find("]]", begin);
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view body = text.substr(begin + 2, end - begin - 2);
  const std::size_t first = body.find('|');
  const std::size_t second = body.rfind('|');
  if (first == std::string_view::npos || first == second) {
    return std::nullopt;
  }
  RequestTag tag;
  tag.program = body.substr(0, first);
  tag.branch = body.substr(first + 1, second - first - 1);
  const std::string_view number = body.substr(second + 1);
  std::from_chars(number.data(), number.data() + number.size(), tag.step);
  return tag;
}

std::string makeAnswer(const RequestTag& tag, std::string_view dispatch, std::uint32_t tokens) {
  std::string text = "ANS" + tag.toText() + "(";
  text += dispatch;
  text += ")";
  text.resize((text.size() + kCharactersPerAnswerToken - 1) / kCharactersPerAnswerToken *
                  kCharactersPerAnswerToken,
              '.');
  for (std::uint32_t number = answerTokens(text); number < tokens; ++number) {
    char token[8];
    std::snprintf(token, sizeof(token), "%03u ", number % 1000);
    text += token;
  }
  return text;
}

std::uint32_t answerTokens(std::string_view answer) {
  return static_cast<std::uint32_t>(answer.size() / kCharactersPerAnswerToken);
}

}  // namespace gorsetrail::sim
