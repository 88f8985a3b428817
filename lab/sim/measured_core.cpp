#include "lab/sim/measured_core.h"

#include <time.h>

#include <utility>

#include "wire/codec.h"

namespace gorsetrail::sim {
namespace {

std::uint64_t threadNanoseconds() {
  timespec moment{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &moment);
  return static_cast<std::uint64_t>(moment.tv_sec) * 1'000'000'000ULL +
         static_cast<std::uint64_t>(moment.tv_nsec);
}

/// Adds the processor time of its life to a counter.
class Stopwatch {
 public:
  Stopwatch(std::uint64_t& counter, bool running)
      : counter_(counter), running_(running), begin_(running ? threadNanoseconds() : 0) {}
  ~Stopwatch() {
    if (running_) {
      counter_ += threadNanoseconds() - begin_;
    }
  }
  Stopwatch(const Stopwatch&) = delete;
  Stopwatch& operator=(const Stopwatch&) = delete;

 private:
  std::uint64_t& counter_;
  bool running_;
  std::uint64_t begin_;
};

std::uint64_t textOf(const std::vector<program::JournalEntry>& entries) {
  std::uint64_t bytes = 0;
  for (const program::JournalEntry& entry : entries) {
    if (const auto* intent = std::get_if<program::IntentEntry>(&entry.body)) {
      bytes += intent->messages.size();
    } else if (const auto* outcome = std::get_if<program::OutcomeEntry>(&entry.body)) {
      bytes += outcome->answer.size();
    }
  }
  return bytes;
}

}  // namespace

std::uint64_t textBytesOf(const wire::PeerMessage& message) {
  const auto* journal = std::get_if<program::JournalMessage>(&message);
  if (journal == nullptr) {
    return 0;
  }
  if (const auto* append = std::get_if<program::AppendRequest>(journal)) {
    return textOf(append->entries) + (append->base ? textOf(append->base->entries) : 0);
  }
  if (const auto* reply = std::get_if<program::SealReply>(journal)) {
    const auto* granted = std::get_if<program::SealGranted>(&reply->verdict);
    return granted != nullptr && granted->record ? textOf(granted->record->entries) : 0;
  }
  return 0;
}

void MeasuredCore::onCall(engine::CallRequest request, Instant now) {
  const Stopwatch watch(usage_.coreNanoseconds, measuring_);
  inner().onCall(std::move(request), now);
}

void MeasuredCore::onCallerGone(CallHandle handle, Instant now) {
  const Stopwatch watch(usage_.coreNanoseconds, measuring_);
  inner().onCallerGone(handle, now);
}

void MeasuredCore::onCloseProgram(CallHandle handle, const ProgramKey& key, Instant now) {
  const Stopwatch watch(usage_.coreNanoseconds, measuring_);
  inner().onCloseProgram(handle, key, now);
}

void MeasuredCore::onDispatchEvent(CallHandle handle, const engine::DispatchEvent& event,
                                   Instant now) {
  const Stopwatch watch(usage_.coreNanoseconds, measuring_);
  inner().onDispatchEvent(handle, event, now);
}

void MeasuredCore::onPeerMessage(NodeId from, const node::PeerMessage& message, Instant now) {
  const Stopwatch watch(usage_.coreNanoseconds, measuring_);
  inner().onPeerMessage(from, message, now);
}

void MeasuredCore::onBundleEnvelope(std::string_view envelope, Instant now) {
  const Stopwatch watch(usage_.coreNanoseconds, measuring_);
  inner().onBundleEnvelope(envelope, now);
}

void MeasuredCore::onMachineList(const std::vector<membership::MachineListEntry>& lines,
                                 Instant now) {
  const Stopwatch watch(usage_.coreNanoseconds, measuring_);
  inner().onMachineList(lines, now);
}

void MeasuredCore::onBackendReport(const node::BackendReport& report, Instant now) {
  const Stopwatch watch(usage_.coreNanoseconds, measuring_);
  inner().onBackendReport(report, now);
}

void MeasuredCore::onLogAppended(std::uint64_t sequence, bool taken, Instant now) {
  const Stopwatch watch(usage_.coreNanoseconds, measuring_);
  inner().onLogAppended(sequence, taken, now);
}

void MeasuredCore::onHoldResult(const engine::HoldResult& result, Instant now) {
  const Stopwatch watch(usage_.coreNanoseconds, measuring_);
  inner().onHoldResult(result, now);
}

void MeasuredCore::onHoldInventory(const engine::HoldInventory& inventory, Instant now) {
  const Stopwatch watch(usage_.coreNanoseconds, measuring_);
  inner().onHoldInventory(inventory, now);
}

void MeasuredCore::onTick(Instant now) {
  const Stopwatch watch(usage_.coreNanoseconds, measuring_);
  inner().onTick(now);
}

std::vector<node::NodeCommand> MeasuredCore::takeCommands() {
  std::vector<node::NodeCommand> commands;
  {
    const Stopwatch watch(usage_.coreNanoseconds, measuring_);
    commands = inner().takeCommands();
  }
  for (const node::NodeCommand& command : commands) {
    const auto* peer = std::get_if<node::SendPeerMessage>(&command);
    if (peer != nullptr && peer->to != self_ && measuring_) {
      countFrame(*peer);
    }
  }
  return commands;
}

void MeasuredCore::countFrame(const node::SendPeerMessage& command) {
  wire::PeerFrame frame{self_, Incarnation(1), command.message};
  std::size_t bytes = 0;
  {
    const Stopwatch watch(usage_.codecNanoseconds, true);
    bytes = wire::encodeFrame(frame).size();
  }
  const std::uint64_t text = textBytesOf(command.message);
  const auto subsystem = static_cast<std::size_t>(wire::subsystemOf(command.message));
  usage_.textBytes += text;
  usage_.controlBytes[subsystem] += bytes - text;
  ++usage_.frames[subsystem];
}

}  // namespace gorsetrail::sim
