/// \file Life of one call: what the node's I/O tells it, and what it wants done.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"
#include "program/program_service.h"

namespace gorsetrail::engine {

/// Whether an answer is streamed to the caller as it comes.
enum class AnswerMode : std::uint8_t { Whole, Stream };

/// A caller's request after the front parsed it; nothing is checked against the bundle yet.
struct CallRequest {
  CallHandle handle;
  ProgramKey key;
  std::string branchPath;
  std::string idempotencyKey;
  bool repeatable = true;
  std::string work;      ///< The request's `model`.
  std::string body;      ///< The request's JSON, byte for byte.
  std::string messages;  ///< Its `messages` array as JSON text.
  std::uint32_t maximumTokens = 0;
  AnswerMode mode = AnswerMode::Whole;
  Duration timeLimit{};  ///< From `Gorsetrail-Timeout-Ms`, else the settings' default.
};

/// What dispatching came to, as the back-end clients report it. `attempt` guards against events
/// of an attempt that was given up.
struct DispatchNotSent {  ///< No byte left this node: certainly not run.
  AttemptNumber attempt;
  std::string reason;
};
struct DispatchRefused {  ///< The back end refused and named the request's id: not run.
  AttemptNumber attempt;
  unsigned status = 0;
  std::string reason;
  bool leaving = false;
  std::uint32_t retryAfterSeconds = 0;  ///< When it asks to be asked again; 0: it did not say.
};
struct DispatchChunk {  ///< The next part of a streamed answer; `offset` counts tokens from 0.
  AttemptNumber attempt;
  std::uint32_t offset = 0;
  std::string text;
};
struct DispatchFinished {
  AttemptNumber attempt;
  std::string answer;  ///< The answer's whole content (text, or an application's JSON).
  std::uint32_t promptTokens = 0;
  std::uint32_t cachedTokens = 0;
  std::uint32_t completionTokens = 0;
};
struct DispatchBroken {  ///< The connection ended after the first byte left.
  AttemptNumber attempt;
  std::string reason;
};

using DispatchEvent =
    std::variant<DispatchNotSent, DispatchRefused, DispatchChunk, DispatchFinished, DispatchBroken>;

/// \name Commands to the back-end clients
/// @{
struct StartDispatch {
  CallHandle handle;
  DispatchId id;
  bool application = false;
  std::string backendName;
  std::string address;  ///< `ip:port`.
  std::string model;
  std::string adapter;
  std::string body;  ///< The caller's JSON.
  std::uint32_t priorityLevel = 0;
  Duration timeLimit{};
  std::uint32_t resumeFrom = 0;  ///< >0: resume the stream of `id` from this token offset.
  RequestDigest request;         ///< Of the caller's request id: the same in every epoch.
};
struct CancelDispatch {
  CallHandle handle;
  DispatchId id;
  std::string address;
};
/// @}

/// \name Commands to the front
/// @{
struct AnswerChunk {
  CallHandle handle;
  std::string text;
};
struct AnswerCompleted {
  CallHandle handle;
  std::string answer;  ///< Whole content.
  bool replayed = false;
  program::Durability durability = program::Durability::ZoneQuorum;
  std::uint32_t promptTokens = 0;
  std::uint32_t cachedTokens = 0;
  std::uint32_t completionTokens = 0;
  CallNumber call;
  std::string backendName;
};
struct AnswerRefused {
  CallHandle handle;
  Error error;
};
/// @}

}  // namespace gorsetrail::engine
