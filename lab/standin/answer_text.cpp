#include "lab/standin/answer_text.h"

#include <nlohmann/json.hpp>

#include "base/ids.h"

namespace gorsetrail::standin {
namespace {

constexpr std::string_view kStart = "answer-for ";
constexpr char kPadding = '.';
constexpr std::uint32_t kFillerNumbers = 4096;

std::string labelText(const AnswerLabel& label) {
  std::string text = std::string(kStart) + label.requestId + " " + label.digest;
  while (text.size() % kAnswerTokenCharacters != 0) {
    text.push_back(kPadding);
  }
  return text;
}

/// Appends one token: a blank and the token's offset as three hexadecimal digits.
void appendFiller(std::string& text, std::uint32_t offset) {
  static constexpr char kDigits[] = "0123456789abcdef";
  const std::uint32_t number = offset % kFillerNumbers;
  text.push_back(' ');
  text.push_back(kDigits[number >> 8]);
  text.push_back(kDigits[(number >> 4) & 15U]);
  text.push_back(kDigits[number & 15U]);
}

}  // namespace

std::string canonicalMessages(std::string_view messages) {
  const nlohmann::json document = nlohmann::json::parse(messages, nullptr, false);
  if (!document.is_array()) {
    return {};
  }
  std::string text = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  text.pop_back();
  return text;
}

std::string messagesDigest(std::string_view messages) {
  return contentDigestOf(canonicalMessages(messages)).toHex();
}

std::uint32_t labelTokens(const AnswerLabel& label) {
  return static_cast<std::uint32_t>(labelText(label).size() / kAnswerTokenCharacters);
}

std::string answerText(const AnswerLabel& label, std::uint32_t tokens) {
  std::string text = labelText(label);
  const std::size_t wanted = kAnswerTokenCharacters * tokens;
  text.reserve(wanted);
  while (text.size() < wanted) {
    appendFiller(text, static_cast<std::uint32_t>(text.size() / kAnswerTokenCharacters));
  }
  text.resize(wanted);
  return text;
}

std::optional<AnswerLabel> labelOfWholeAnswer(std::string_view text) {
  constexpr std::size_t kDigestCharacters = 32;
  if (!text.starts_with(kStart) || text.size() % kAnswerTokenCharacters != 0) {
    return std::nullopt;
  }
  const std::string_view rest = text.substr(kStart.size());
  const std::size_t blank = rest.find(' ');
  if (blank == std::string_view::npos || rest.size() < blank + 1 + kDigestCharacters) {
    return std::nullopt;
  }
  AnswerLabel label{std::string(rest.substr(0, blank)),
                    std::string(rest.substr(blank + 1, kDigestCharacters))};
  const auto tokens = static_cast<std::uint32_t>(text.size() / kAnswerTokenCharacters);
  if (answerText(label, tokens) != text) {
    return std::nullopt;
  }
  return label;
}

}  // namespace gorsetrail::standin
