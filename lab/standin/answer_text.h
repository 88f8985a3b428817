/// \file Answers of the engine stand-in: texts that tell a checker whose answer they are.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gorsetrail::standin {

/// What an answer's text says about itself.
struct AnswerLabel {
  std::string requestId;  ///< `X-Request-Id` of the dispatch that made it.
  std::string digest;     ///< `messagesDigest` of the messages it answers.
};

/// \param messages JSON array.
/// \return the array without blanks, keys sorted, without the closing bracket: the text of a
/// longer history starts with that of a shorter one. Empty when `messages` is no JSON array.
std::string canonicalMessages(std::string_view messages);
/// \return 32 hexadecimal digits that name the messages, whatever the blanks and order of keys.
std::string messagesDigest(std::string_view messages);

/// \return the text of an answer: `answer-for ID DIGEST`, padding and numbered filler; exactly four
/// characters a token. Fewer tokens give a shorter text with the same start.
std::string answerText(const AnswerLabel& label, std::uint32_t tokens);
/// \return the tokens that the label itself takes.
std::uint32_t labelTokens(const AnswerLabel& label);
/// \return the label of a whole answer; nothing when the text is not one that `answerText` makes
/// (cut, doubled or mixed parts).
std::optional<AnswerLabel> labelOfWholeAnswer(std::string_view text);

/// Length of each token of an answer, in characters.
inline constexpr std::size_t kAnswerTokenCharacters = 4;

}  // namespace gorsetrail::standin
