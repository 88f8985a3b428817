/// \file Marks by which back ends and the checker tell whose request a text belongs to. Nodes
/// never read them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gorsetrail::sim {

/// Names one request of one program.
struct RequestTag {
  std::string program;
  std::string branch;  ///< Empty for the root.
  std::uint32_t step = 0;
  auto operator<=>(const RequestTag&) const = default;  // NOLINT(modernize-use-nullptr)
  /// \return `[[program|branch|step]]`.
  [[nodiscard]] std::string toText() const;
};

/// \return the last tag in a text; nothing when there is none.
std::optional<RequestTag> lastTagIn(std::string_view text);

/// \return an engine's answer: `ANS`, the tag, the dispatch, then filler; four characters a token.
std::string makeAnswer(const RequestTag& tag, std::string_view dispatch, std::uint32_t tokens);
/// Characters a token in answers.
inline constexpr std::size_t kCharactersPerAnswerToken = 4;
/// \return the tokens of an answer's text.
std::uint32_t answerTokens(std::string_view answer);

}  // namespace gorsetrail::sim
