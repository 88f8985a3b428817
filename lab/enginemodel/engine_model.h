/// \file One model engine in virtual time: continuous batching, chunked prefill, prefix cache,
/// priorities, holds and a leaving switch. Deterministic; no sockets, clock or threads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/time.h"
#include "lab/enginemodel/block_cache.h"

namespace gorsetrail::enginemodel {

/// Cost and size of one engine.
struct EngineOptions {
  Duration baseStep = milliseconds(3);                ///< At least 3 ms.
  Duration stepPerStream = microseconds(100);         ///< Added for each stream that decodes.
  std::uint64_t nanosecondsPerPrefillToken = 25'000;  ///< Added for each prompt token of a step.
  std::uint32_t prefillTokensPerStep = 512;           ///< Chunk shared by all prefilling requests.
  std::uint32_t maximumRunning = 32;                  ///< Requests in the batch.
  std::uint32_t maximumQueued = 1024;                 ///< Beyond it, `QueueFull`.
  std::uint32_t blockTokens = 16;
  std::uint32_t cacheBlocks = 16'384;     ///< Memory for KV, cached and in use.
  std::uint32_t holdLimitPerMille = 500;  ///< Share of memory that holds may cover.
  bool holdsYield = false;   ///< True: holds give way to requests that need their memory.
  bool reportTokens = true;  ///< False: only first tokens and ends are reported; faster.
};

/// One request. `chain` names the prompt's full blocks and, if known, those of prompt plus answer,
/// so that the answer is cached for the program's next call.
struct EngineRequest {
  std::string id;
  std::vector<PrefixHash> chain;
  std::uint32_t promptTokens = 0;
  std::uint32_t answerTokens = 1;  ///< Length of the answer; at least 1.
  std::uint32_t priority = 0;      ///< Higher goes first.
};

/// What became of `submit`.
enum class SubmitOutcome : std::uint8_t { Accepted, Leaving, QueueFull, DuplicateId, TooLong };

/// A token left the engine. Offsets of one request are 0, 1, 2, ...
struct TokenEmitted {
  std::string id;
  std::uint32_t offset = 0;
  Instant at{};
};

/// Tokens of one request, as its usage reports them.
struct Usage {
  std::uint32_t promptTokens = 0;
  std::uint32_t cachedTokens = 0;  ///< Of the prompt, found in the prefix cache.
  std::uint32_t completionTokens = 0;
};

/// A request ended; nothing of it follows.
struct RequestFinished {
  std::string id;
  Usage usage;
  bool cancelled = false;
  Instant at{};
};

using EngineEvent = std::variant<TokenEmitted, RequestFinished>;

/// Load as the engine reports it.
struct EngineLoad {
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t cacheUsedPerMille = 0;
  bool leaving = false;
};

/// Where a stream stands, for resuming; kept for a bounded number of ended requests.
struct StreamState {
  std::uint32_t emittedTokens = 0;
  bool finished = false;
  bool cancelled = false;
  Usage usage;
};

/// Virtual-time spent by tokens between two steps, in whole milliseconds (the last bucket is open).
struct StepTimes {
  static constexpr std::size_t kBuckets = 512;
  std::vector<std::uint64_t> tokensByMilliseconds = std::vector<std::uint64_t>(kBuckets, 0);
  /// \return the time that `share` of all tokens did not exceed, in milliseconds; 0 if none.
  [[nodiscard]] double quantileMilliseconds(double share) const;
  void add(Duration step, std::uint64_t tokens);
  void merge(const StepTimes& other);
};

/// The engine. The driver calls `advance` at `nextStepAt` (or later) and delivers the events.
class EngineModel {
 public:
  explicit EngineModel(const EngineOptions& options);

  /// Queues a request at `now`; work begun before `now` is completed first.
  SubmitOutcome submit(const EngineRequest& request, Instant now);
  /// Ends a request early; its `RequestFinished` comes with the next `advance`.
  /// \return false when it is not under way.
  bool cancel(std::string_view id, Instant now);
  /// Completes every step that ends at or before `now`. \return events in order of time.
  std::vector<EngineEvent> advance(Instant now);
  /// \return when the next event is due; nothing when idle.
  [[nodiscard]] std::optional<Instant> nextStepAt() const;

  [[nodiscard]] EngineLoad load() const;
  /// \return the length of the step under way, 0 when idle.
  [[nodiscard]] Duration currentStep() const { return step_ ? step_->length : Duration{}; }
  [[nodiscard]] std::optional<StreamState> stream(std::string_view id) const;

  /// A leaving engine refuses new requests and completes those it has.
  void setLeaving(bool leaving) { leaving_ = leaving; }
  [[nodiscard]] bool leaving() const { return leaving_; }

  HoldOutcome placeHold(const Hold& hold, Instant now);
  bool removeHold(std::string_view name, Instant now);
  [[nodiscard]] std::vector<Hold> holds(Instant now);

  [[nodiscard]] std::vector<CacheEvent> cacheEventsAfter(std::uint64_t sequence) const {
    return cache_.eventsAfter(sequence);
  }
  [[nodiscard]] std::vector<CachedPrefix> inventory() const { return cache_.inventory(); }
  /// \return the chain of a cached prefix, empty when it is not in memory.
  [[nodiscard]] std::vector<PrefixHash> exportPrefix(PrefixHash prefix) const {
    return cache_.chainOf(prefix);
  }
  /// \return the number of blocks stored; 0 when there is no room or nothing was missing.
  std::size_t importPrefix(const std::vector<PrefixHash>& chain) { return cache_.import(chain); }

  [[nodiscard]] const StepTimes& stepTimes() const { return stepTimes_; }
  [[nodiscard]] BlockCache& cache() { return cache_; }
  [[nodiscard]] const BlockCache& cache() const { return cache_; }
  [[nodiscard]] const EngineOptions& options() const { return options_; }

 private:
  struct Running {
    EngineRequest request;
    std::uint64_t arrival = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t prefilledTokens = 0;
    std::uint32_t chunkTokens = 0;  ///< Prompt tokens of the step under way.
    std::uint32_t emittedTokens = 0;
    std::uint32_t referencedBlocks = 0;
    std::uint32_t reservedBlocks = 0;
    bool decoding = false;  ///< Takes part in the step under way as a decoding stream.
  };
  struct Step {
    Instant endsAt{};
    Duration length{};
    std::uint32_t decoding = 0;
    bool hasPrefill = false;
  };

  void runUntil(Instant now);
  void startStep(Instant now);
  void admitQueued();
  bool tryStart(Running& candidate);
  void planPrefill(Step& step);
  void completeStep();
  void skipEqualSteps(Instant now);
  [[nodiscard]] std::uint32_t equalStepsAhead() const;
  void completePrefillOf(Running& running);
  void emitToken(Running& running);
  void finish(Running& running, bool cancelled);
  void storeBlocksUpTo(Running& running, std::uint32_t tokens);
  void releaseMemory(Running& running);
  void remember(const std::string& id, const StreamState& state);
  [[nodiscard]] Usage usageOf(const Running& running) const;

  EngineOptions options_;
  BlockCache cache_;
  std::list<Running> queue_;    ///< By priority, then arrival.
  std::list<Running> running_;  ///< By priority, then arrival.
  std::unordered_map<std::string, StreamState> ended_;
  std::deque<std::string> endedOrder_;
  std::optional<Step> step_;
  std::vector<EngineEvent> events_;
  StepTimes stepTimes_;
  Instant clock_{};
  std::uint64_t arrivals_ = 0;
  bool leaving_ = false;
  bool changedInStep_ = false;  ///< The next step may differ from the one under way.
};

}  // namespace gorsetrail::enginemodel
