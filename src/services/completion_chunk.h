/// \file The fields of an engine's `chat.completion.chunk` that the node needs, read in one pass
/// without building a document.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gorsetrail::services {

/// Tokens of one call, as the engine counted them.
struct TokenUsage {
  std::uint32_t promptTokens = 0;
  std::uint32_t cachedTokens = 0;
  std::uint32_t completionTokens = 0;
};

struct CompletionChunk {
  std::string content;  ///< `choices[0].delta.content`; empty when the chunk has none.
  std::optional<TokenUsage> usage;
  bool hasError = false;  ///< The engine put an `error` into the stream.
};

/// Reads a chunk into `chunk`, whose memory is used again. \return false when it is not JSON, or
/// one of the fields has a wrong type.
bool readCompletionChunk(std::string_view json, CompletionChunk& chunk);

}  // namespace gorsetrail::services
