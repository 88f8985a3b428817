#include "lab/sim/sim_engine.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>
#include <variant>

#include "lab/sim/prompt_text.h"
#include "scheduling/prefix_chain.h"

namespace gorsetrail::sim {
namespace {

constexpr std::uint32_t kBlockTokens = 16;
constexpr std::uint32_t kEngineCacheBlocks = 4096;
constexpr std::size_t kKeptStreams = 512;

enginemodel::EngineOptions engineOptions() {
  enginemodel::EngineOptions options;
  options.blockTokens = kBlockTokens;
  options.cacheBlocks = kEngineCacheBlocks;
  return options;
}

/// \return the number behind `"key":` in a JSON text; `fallback` when it is not there.
std::uint32_t numberAfter(std::string_view text, std::string_view key, std::uint32_t fallback) {
  const std::size_t place = text.rfind(key);
  if (place == std::string_view::npos) {
    return fallback;
  }
  std::uint32_t number = fallback;
  const char* begin = text.data() + place + key.size();
  std::from_chars(begin, text.data() + text.size(), number);
  return number;
}

engine::HoldOutcome outcomeOf(enginemodel::HoldOutcome outcome) {
  switch (outcome) {
    case enginemodel::HoldOutcome::Held:
      return engine::HoldOutcome::Done;
    case enginemodel::HoldOutcome::PrefixNotCached:
      return engine::HoldOutcome::NotCached;
    case enginemodel::HoldOutcome::StaleEpoch:
      return engine::HoldOutcome::StaleEpoch;
    case enginemodel::HoldOutcome::LimitExceeded:
      return engine::HoldOutcome::LimitExceeded;
  }
  return engine::HoldOutcome::Failed;
}

}  // namespace

SimEngine::SimEngine(SimContext& context, BackendName name)
    : SimBackend(context, std::move(name)), model_(engineOptions()) {}

node::BackendReport SimEngine::report() const {
  node::BackendReport report = SimBackend::report();
  const enginemodel::EngineLoad load = model_.load();
  report.runningStreams = load.running;
  report.queuedRequests = load.queued;
  report.cacheUsedPerMille = load.cacheUsedPerMille;
  return report;
}

void SimEngine::onRequest(const ConnectionPtr& connection, const engine::StartDispatch& command) {
  if (command.resumeFrom > 0) {
    resume(connection, command);
    return;
  }
  context_.checker.onDispatchArrived(name_.name, context_.now());
  if (refuses(connection)) {
    return;
  }
  const std::string id = command.id.toText();
  if (streams_.count(id) != 0) {
    connection->finish(engine::DispatchBroken{connection->attempt(), "duplicate request id"});
    return;
  }
  Stream& stream = streams_[id] = makeStream(connection, command);
  context_.checker.onRunStarted(stream.tag, id, context_.now());
  context_.trace(stream.tag.program, name_.name + " runs " + stream.tag.toText() + " as " + id);
  if (!faults_.hanging) {
    submit(id, stream);
  }
}

SimEngine::Stream SimEngine::makeStream(const ConnectionPtr& connection,
                                        const engine::StartDispatch& command) const {
  Stream stream;
  stream.tag = lastTagIn(command.body).value_or(RequestTag{"untagged", "", 0});
  const std::uint32_t mean = context_.scenario.workload.answerTokens;
  const std::string tagText = stream.tag.toText();
  const std::uint32_t drawn =
      mean / 2 + static_cast<std::uint32_t>(XXH64(tagText.data(), tagText.size(), 1) % mean);
  const std::uint32_t limit = numberAfter(command.body, "\"max_tokens\":", mean);
  stream.answer = makeAnswer(stream.tag, command.id.toText(), std::min(drawn, limit));
  stream.tokens = answerTokens(stream.answer);
  stream.since = context_.now();
  stream.timeLimit = command.timeLimit;
  stream.connection = connection;
  enginemodel::EngineRequest request;
  request.id = command.id.toText();
  request.chain = scheduling::prefixChainOf(cachedTextOf(command, stream.answer), kBlockTokens);
  request.promptTokens = scheduling::estimatedTokens(cachedTextOf(command, {}));
  request.answerTokens = stream.tokens;
  request.priority = command.priorityLevel;
  stream.waiting = std::move(request);
  return stream;
}

void SimEngine::submit(const std::string& id, Stream& stream) {
  const enginemodel::EngineRequest request = std::move(*stream.waiting);
  stream.waiting.reset();
  if (faults_.breakStreams > 0) {
    --faults_.breakStreams;
    stream.breakAt = std::max(1U, stream.tokens / 2);
  }
  const enginemodel::SubmitOutcome outcome = model_.submit(request, context_.now());
  if (outcome != enginemodel::SubmitOutcome::Accepted) {
    stream.connection->finish(
        engine::DispatchRefused{stream.connection->attempt(), 429, "queue full", false});
    streams_.erase(id);
    return;
  }
  planAdvance();
}

void SimEngine::resume(const ConnectionPtr& connection, const engine::StartDispatch& command) {
  const auto found = streams_.find(command.id.toText());
  if (found == streams_.end()) {
    connection->finish(engine::DispatchBroken{connection->attempt(), "no such stream"});
    return;
  }
  Stream& stream = found->second;
  stream.connection = connection;
  stream.breakAt = 0;
  stream.sent = std::min(command.resumeFrom, stream.tokens);
  sendProgress(stream);
}

void SimEngine::onCancel(const DispatchId& id) {
  const auto found = streams_.find(id.toText());
  if (found == streams_.end()) {
    return;
  }
  if (found->second.waiting || !model_.cancel(found->first, context_.now())) {
    streams_.erase(found);
    return;
  }
  planAdvance();
}

void SimEngine::setHanging(bool hanging) {
  SimBackend::setHanging(hanging);
  if (hanging) {
    return;
  }
  for (auto entry = streams_.begin(); entry != streams_.end();) {
    const auto current = entry++;
    if (current->second.waiting) {
      submit(current->first, current->second);
    }
  }
}

void SimEngine::planAdvance() {
  const std::optional<Instant> next = model_.nextStepAt();
  if (!next || (plannedAt_ && *plannedAt_ <= *next)) {
    return;
  }
  plannedAt_ = next;
  context_.events.schedule(*next, [this, at = *next] {
    if (plannedAt_ == at) {
      plannedAt_.reset();
      advance();
    }
  });
}

void SimEngine::advance() {
  for (const enginemodel::EngineEvent& event : model_.advance(context_.now())) {
    if (const auto* token = std::get_if<enginemodel::TokenEmitted>(&event)) {
      onToken(*token);
    } else {
      onFinished(std::get<enginemodel::RequestFinished>(event));
    }
  }
  planAdvance();
}

void SimEngine::onToken(const enginemodel::TokenEmitted& token) {
  const auto found = streams_.find(token.id);
  if (found == streams_.end()) {
    return;
  }
  found->second.emitted = token.offset + 1;
  sendProgress(found->second);
}

void SimEngine::onFinished(const enginemodel::RequestFinished& finished) {
  const auto found = streams_.find(finished.id);
  if (found == streams_.end()) {
    return;
  }
  if (finished.cancelled) {
    streams_.erase(found);
    return;
  }
  Stream& stream = found->second;
  stream.finished = true;
  stream.emitted = stream.tokens;
  stream.usage = finished.usage;
  context_.checker.onRunFinished(stream.tag, found->first, stream.answer, stream.tokens,
                                 context_.now());
  sendProgress(stream);
}

/// One chunk a token, as engines stream them: the offset of a chunk is that of its token.
void SimEngine::sendProgress(Stream& stream) {
  DispatchConnection& connection = *stream.connection;
  const std::uint32_t upTo =
      stream.breakAt > 0 ? std::min(stream.emitted, stream.breakAt) : stream.emitted;
  for (; stream.sent < upTo; ++stream.sent) {
    const std::size_t begin = stream.sent * kCharactersPerAnswerToken;
    connection.send(engine::DispatchChunk{connection.attempt(), stream.sent,
                                          stream.answer.substr(begin, kCharactersPerAnswerToken)});
  }
  if (stream.breakAt > 0 && stream.emitted >= stream.breakAt) {
    connection.finish(engine::DispatchBroken{connection.attempt(), "connection reset"});
    return;
  }
  if (stream.finished) {
    connection.finish(engine::DispatchFinished{connection.attempt(), stream.answer,
                                               stream.usage.promptTokens, stream.usage.cachedTokens,
                                               stream.tokens});
  }
}

engine::HoldResult SimEngine::onPlaceHold(const engine::PlaceHold& command) {
  const enginemodel::Hold hold{engine::holdNameOf(command.program, command.epoch),
                               command.program.toHex(), command.epoch, command.prefix,
                               context_.now() + command.deadline};
  const enginemodel::HoldOutcome outcome = model_.placeHold(hold, context_.now());
  context_.figures.count(outcome == enginemodel::HoldOutcome::Held ? "holds_placed"
                                                                   : "holds_refused");
  return {command.order, name_.name, outcomeOf(outcome)};
}

engine::HoldResult SimEngine::onReleaseHold(const engine::ReleaseHold& command) {
  model_.removeHold(engine::holdNameOf(command.program, command.epoch), context_.now());
  return {command.order, name_.name, engine::HoldOutcome::Done};
}

engine::HoldInventory SimEngine::onReadHolds() {
  engine::HoldInventory inventory;
  inventory.backendName = name_.name;
  for (const enginemodel::Hold& hold : model_.holds(context_.now())) {
    inventory.holds.push_back({hold.name, hold.program, hold.epoch});
  }
  return inventory;
}

void SimEngine::inspect() {
  for (const enginemodel::Hold& hold : model_.holds(context_.now())) {
    const auto program = context_.programNames.find(hold.program);
    context_.checker.onPrefixHeld(
        name_.name, program == context_.programNames.end() ? hold.program : program->second,
        context_.now());
  }
  for (const auto& [id, stream] : streams_) {
    if (!stream.finished) {
      context_.checker.onStreamHeld(name_.name, stream.tag, stream.since, stream.timeLimit,
                                    context_.now());
    }
  }
  // Ended streams are kept for resuming; the oldest of too many go.
  if (streams_.size() > kKeptStreams) {
    const Instant old = context_.now() - seconds(120);
    std::erase_if(streams_, [old](const auto& entry) {
      return entry.second.finished && entry.second.since < old;
    });
  }
}

}  // namespace gorsetrail::sim
