#include "lab/enginemodel/engine_model.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gorsetrail::enginemodel {
namespace {

constexpr std::size_t kRememberedEndedRequests = 4096;
constexpr std::uint32_t kPerMille = 1000;

std::uint32_t blocksFor(std::uint64_t tokens, std::uint32_t blockTokens) {
  return static_cast<std::uint32_t>((tokens + blockTokens - 1) / blockTokens);
}

std::uint32_t holdLimitBlocks(const EngineOptions& options) {
  const std::uint64_t scaled = std::uint64_t{options.cacheBlocks} * options.holdLimitPerMille;
  return static_cast<std::uint32_t>(scaled / kPerMille);
}

/// Inserts before the first element of lower priority or later arrival.
template <class List>
void spliceByPriority(List& target, List& source, typename List::iterator element) {
  const auto position = std::find_if(target.begin(), target.end(), [&element](const auto& other) {
    if (other.request.priority != element->request.priority) {
      return other.request.priority < element->request.priority;
    }
    return other.arrival > element->arrival;
  });
  target.splice(position, source, element);
}

}  // namespace

void StepTimes::add(Duration step, std::uint64_t tokens) {
  const auto whole =
      static_cast<std::size_t>((step + milliseconds(1) - microseconds(1)) / milliseconds(1));
  tokensByMilliseconds[std::min(whole, kBuckets - 1)] += tokens;
}

void StepTimes::merge(const StepTimes& other) {
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    tokensByMilliseconds[bucket] += other.tokensByMilliseconds[bucket];
  }
}

double StepTimes::quantileMilliseconds(double share) const {
  std::uint64_t total = 0;
  for (const std::uint64_t tokens : tokensByMilliseconds) {
    total += tokens;
  }
  const auto wanted = static_cast<std::uint64_t>(share * static_cast<double>(total));
  std::uint64_t seen = 0;
  for (std::size_t bucket = 0; bucket < kBuckets && total > 0; ++bucket) {
    seen += tokensByMilliseconds[bucket];
    if (seen >= wanted) {
      return static_cast<double>(bucket);
    }
  }
  return 0.0;
}

EngineModel::EngineModel(const EngineOptions& options)
    : options_(options),
      cache_(options.blockTokens, options.cacheBlocks, holdLimitBlocks(options),
             options.holdsYield) {}

SubmitOutcome EngineModel::submit(const EngineRequest& request, Instant now) {
  runUntil(now);
  if (leaving_) {
    return SubmitOutcome::Leaving;
  }
  if (stream(request.id).has_value()) {
    return SubmitOutcome::DuplicateId;
  }
  const std::uint64_t tokens = std::uint64_t{request.promptTokens} + request.answerTokens;
  if (blocksFor(tokens, options_.blockTokens) > options_.cacheBlocks) {
    return SubmitOutcome::TooLong;
  }
  if (queue_.size() >= options_.maximumQueued) {
    return SubmitOutcome::QueueFull;
  }
  std::list<Running> added(1);
  added.front().request = request;
  added.front().request.answerTokens = std::max(1U, request.answerTokens);
  added.front().arrival = ++arrivals_;
  spliceByPriority(queue_, added, added.begin());
  changedInStep_ = true;
  if (!step_) {
    startStep(now);
  }
  return SubmitOutcome::Accepted;
}

bool EngineModel::cancel(std::string_view id, Instant now) {
  runUntil(now);
  for (std::list<Running>* list : {&queue_, &running_}) {
    const auto found = std::find_if(list->begin(), list->end(), [id](const Running& running) {
      return running.request.id == id;
    });
    if (found != list->end()) {
      finish(*found, true);
      list->erase(found);
      changedInStep_ = true;
      return true;
    }
  }
  return false;
}

std::vector<EngineEvent> EngineModel::advance(Instant now) {
  runUntil(now);
  if (!step_) {
    startStep(now);
  }
  return std::exchange(events_, {});
}

std::optional<Instant> EngineModel::nextStepAt() const {
  if (!events_.empty()) {
    return clock_;
  }
  if (!step_) {
    return std::nullopt;
  }
  return step_->endsAt + equalStepsAhead() * step_->length;
}

void EngineModel::runUntil(Instant now) {
  while (step_ && step_->endsAt <= now) {
    skipEqualSteps(now);
    if (step_->endsAt > now) {
      break;
    }
    clock_ = step_->endsAt;
    cache_.setClock(clock_);
    completeStep();
    startStep(clock_);
  }
  clock_ = std::max(clock_, now);
  cache_.setClock(clock_);
}

std::uint32_t EngineModel::equalStepsAhead() const {
  const bool holdMayExpire = !queue_.empty() && cache_.heldBlocks() > 0;
  if (options_.reportTokens || step_->hasPrefill || running_.empty() || changedInStep_ ||
      holdMayExpire) {
    return 0;
  }
  std::uint32_t remaining = UINT32_MAX;
  for (const Running& running : running_) {
    remaining = std::min(remaining, running.request.answerTokens - running.emittedTokens);
  }
  return remaining - 1;
}

void EngineModel::skipEqualSteps(Instant now) {
  const std::uint32_t ahead = equalStepsAhead();
  if (ahead == 0) {
    return;
  }
  const auto ended = static_cast<std::uint64_t>((now - step_->endsAt) / step_->length) + 1;
  const auto count = static_cast<std::uint32_t>(std::min<std::uint64_t>(ahead, ended));
  for (Running& running : running_) {
    running.emittedTokens += count;
  }
  stepTimes_.add(step_->length, std::uint64_t{count} * step_->decoding);
  step_->endsAt += count * step_->length;
}

void EngineModel::startStep(Instant now) {
  changedInStep_ = false;
  admitQueued();
  step_.reset();
  if (running_.empty()) {
    return;
  }
  Step step;
  planPrefill(step);
  step.length += options_.baseStep + step.decoding * options_.stepPerStream;
  step.endsAt = now + step.length;
  step_ = step;
}

void EngineModel::admitQueued() {
  while (!queue_.empty() && running_.size() < options_.maximumRunning) {
    if (!tryStart(queue_.front())) {
      if (!running_.empty() || !cache_.dropEarliestHold()) {
        return;
      }
      // Nothing runs that could free memory, so a hold gives way: work goes before retention.
      continue;
    }
    spliceByPriority(running_, queue_, queue_.begin());
  }
}

bool EngineModel::tryStart(Running& candidate) {
  const EngineRequest& request = candidate.request;
  cache_.expireHolds(clock_);
  // The last prompt token is always computed: it yields the first token of the answer.
  const std::uint32_t usable =
      request.promptTokens == 0 ? 0 : (request.promptTokens - 1) / options_.blockTokens;
  const auto matched = static_cast<std::uint32_t>(
      std::min<std::size_t>(cache_.matchedBlocks(request.chain), usable));
  const std::uint64_t tokens = std::uint64_t{request.promptTokens} + request.answerTokens;
  const std::uint32_t needed = blocksFor(tokens, options_.blockTokens) - matched;
  cache_.reference(request.chain, matched);
  if (!cache_.reserve(needed)) {
    cache_.unreference(request.chain, matched);
    return false;
  }
  candidate.referencedBlocks = matched;
  candidate.reservedBlocks = needed;
  candidate.cachedTokens = matched * options_.blockTokens;
  candidate.prefilledTokens = candidate.cachedTokens;
  return true;
}

void EngineModel::planPrefill(Step& step) {
  std::uint32_t budget = options_.prefillTokensPerStep;
  std::uint64_t prefilled = 0;
  for (Running& running : running_) {
    running.decoding = running.emittedTokens > 0;
    if (running.decoding) {
      ++step.decoding;
      continue;
    }
    const std::uint32_t missing = running.request.promptTokens - running.prefilledTokens;
    running.chunkTokens = std::min(budget, missing);
    budget -= running.chunkTokens;
    prefilled += running.chunkTokens;
    step.hasPrefill = true;
  }
  const std::uint64_t nanoseconds = prefilled * options_.nanosecondsPerPrefillToken;
  step.length = microseconds(nanoseconds / 1000);
}

void EngineModel::completeStep() {
  stepTimes_.add(step_->length, step_->decoding);
  for (auto position = running_.begin(); position != running_.end();) {
    Running& running = *position;
    running.prefilledTokens += std::exchange(running.chunkTokens, 0U);
    const bool prefillDone = running.prefilledTokens >= running.request.promptTokens;
    if (running.decoding) {
      emitToken(running);
    } else if (prefillDone) {
      completePrefillOf(running);
    }
    if (running.emittedTokens < running.request.answerTokens) {
      ++position;
      continue;
    }
    finish(running, false);
    position = running_.erase(position);
  }
}

void EngineModel::completePrefillOf(Running& running) {
  storeBlocksUpTo(running, running.request.promptTokens);
  emitToken(running);
}

void EngineModel::emitToken(Running& running) {
  const std::uint32_t offset = running.emittedTokens++;
  if (options_.reportTokens || offset == 0) {
    events_.emplace_back(TokenEmitted{running.request.id, offset, clock_});
  }
}

void EngineModel::storeBlocksUpTo(Running& running, std::uint32_t tokens) {
  const std::vector<PrefixHash>& chain = running.request.chain;
  const std::size_t full = std::min<std::size_t>(chain.size(), tokens / options_.blockTokens);
  for (std::size_t index = running.referencedBlocks; index < full; ++index) {
    const PrefixHash parent = index == 0 ? PrefixHash() : chain[index - 1];
    cache_.store(parent, chain[index], static_cast<std::uint32_t>(index + 1));
    --running.reservedBlocks;
    ++running.referencedBlocks;
  }
}

void EngineModel::finish(Running& running, bool cancelled) {
  if (running.emittedTokens > 0) {
    storeBlocksUpTo(running, running.request.promptTokens + running.emittedTokens);
  }
  releaseMemory(running);
  const Usage usage = usageOf(running);
  events_.emplace_back(RequestFinished{running.request.id, usage, cancelled, clock_});
  remember(running.request.id, {running.emittedTokens, true, cancelled, usage});
}

void EngineModel::releaseMemory(Running& running) {
  cache_.release(running.request.chain, running.referencedBlocks);
  cache_.unreserve(running.reservedBlocks);
  running.referencedBlocks = 0;
  running.reservedBlocks = 0;
}

void EngineModel::remember(const std::string& id, const StreamState& state) {
  ended_[id] = state;
  endedOrder_.push_back(id);
  if (endedOrder_.size() > kRememberedEndedRequests) {
    ended_.erase(endedOrder_.front());
    endedOrder_.pop_front();
  }
}

Usage EngineModel::usageOf(const Running& running) const {
  return {running.request.promptTokens, running.cachedTokens, running.emittedTokens};
}

std::optional<StreamState> EngineModel::stream(std::string_view id) const {
  for (const std::list<Running>* list : {&queue_, &running_}) {
    for (const Running& running : *list) {
      if (running.request.id == id) {
        return StreamState{running.emittedTokens, false, false, usageOf(running)};
      }
    }
  }
  const auto found = ended_.find(std::string(id));
  return found == ended_.end() ? std::nullopt : std::optional(found->second);
}

EngineLoad EngineModel::load() const {
  const std::uint64_t used = cache_.cachedBlocks() + cache_.reservedBlocks();
  return {static_cast<std::uint32_t>(running_.size()), static_cast<std::uint32_t>(queue_.size()),
          static_cast<std::uint32_t>(used * kPerMille / options_.cacheBlocks), leaving_};
}

HoldOutcome EngineModel::placeHold(const Hold& hold, Instant now) {
  runUntil(now);
  cache_.expireHolds(now);
  return cache_.placeHold(hold);
}

bool EngineModel::removeHold(std::string_view name, Instant now) {
  runUntil(now);
  changedInStep_ = true;
  return cache_.removeHold(name);
}

std::vector<Hold> EngineModel::holds(Instant now) {
  cache_.expireHolds(now);
  return cache_.holds();
}

}  // namespace gorsetrail::enginemodel
