/// \file Text form of frames, so that a failed comparison shows the differing fields.
#pragma once

#include <sstream>
#include <string>
#include <variant>

#include "wire/codec.h"

namespace gorsetrail::wire::testing {

/// Writes all fields of a frame in a fixed order.
class FrameText {
 public:
  static std::string of(const PeerFrame& frame) {
    FrameText text;
    text.add(frame.sender, frame.senderIncarnation);
    text.out_ << "subsystem " << frame.message.index() << ' ';
    std::visit([&text](const auto& subsystem) { text.addVariant(subsystem); }, frame.message);
    return text.out_.str();
  }

 private:
  template <class... Values>
  void add(const Values&... values) {
    (addOne(values), ...);
  }
  template <class... Alternatives>
  void addVariant(const std::variant<Alternatives...>& variant) {
    out_ << "alternative " << variant.index() << ' ';
    std::visit([this](const auto& value) { addOne(value); }, variant);
  }
  template <class Tag, class Representation>
  void addOne(const StrongId<Tag, Representation>& id) {
    out_ << id.value() << ' ';
  }
  template <class Tag>
  void addOne(const Digest128<Tag>& digest) {
    out_ << digest.toHex() << ' ';
  }
  void addOne(const std::string& text) { out_ << text.size() << ':' << text << ' '; }
  void addOne(std::uint64_t number) { out_ << number << ' '; }
  template <class Item>
  void addOne(const std::vector<Item>& items) {
    out_ << "list " << items.size() << ' ';
    for (const Item& item : items) {
      addOne(item);
    }
  }
  template <class Item>
  void addOne(const std::optional<Item>& item) {
    out_ << "optional " << item.has_value() << ' ';
    if (item) {
      addOne(*item);
    }
  }

  void addOne(const program::IntentEntry& entry) {
    add(entry.call, entry.branch, entry.request, entry.content, entry.repeatable,
        entry.reservedTokens, entry.messages);
  }
  void addOne(const program::OutcomeEntry& entry) {
    add(entry.call, static_cast<std::uint64_t>(entry.status), entry.usedTokens,
        entry.usedMilliseconds, entry.answer);
  }
  void addOne(const program::CloseEntry&) {}
  void addOne(const program::JournalEntry& entry) {
    add(entry.sequence, entry.epoch);
    addVariant(entry.body);
  }
  void addOne(const program::ProgramRecord& record) {
    add(record.key.homeZone, record.key.tenant, record.key.name, record.limits.calls,
        record.limits.tokens, record.limits.seconds, record.entries, record.closed);
  }
  void addOne(const program::SealRequest& message) {
    add(message.program, message.group, message.epoch, message.candidate,
        message.candidateIncarnation);
  }
  void addOne(const program::SealGranted& verdict) { add(verdict.lastWritten, verdict.record); }
  void addOne(const program::SealRefused& verdict) {
    add(verdict.promised, verdict.owner, verdict.ownerIncarnation);
  }
  void addOne(const program::GroupChanged& verdict) { add(verdict.current, verdict.members); }
  void addOne(const program::SealReply& message) {
    add(message.program, message.epoch);
    addVariant(message.verdict);
  }
  void addOne(const program::AppendRequest& message) {
    add(message.program, message.group, message.epoch, message.owner, message.base,
        message.entries);
  }
  void addOne(const program::AppendReply& message) {
    add(message.program, message.epoch, static_cast<std::uint64_t>(message.verdict),
        message.storedThrough, message.promised);
  }
  void addOne(const program::ReleaseNotice& message) { add(message.program, message.epoch); }

  void addOne(const membership::MemberUpdate& update) {
    add(update.node, update.incarnation, static_cast<std::uint64_t>(update.state),
        update.refutation);
  }
  void addOne(const membership::BackendNotice& notice) {
    add(notice.backendHash, notice.leaving, notice.version);
  }
  void addOne(const membership::Piggyback& piggyback) {
    add(piggyback.senderIncarnation, piggyback.bundleInForce, piggyback.updates, piggyback.notices);
  }
  void addOne(const membership::ProbeRequest& message) { add(message.probe, message.piggyback); }
  void addOne(const membership::ProbeReply& message) { add(message.probe, message.piggyback); }
  void addOne(const membership::IndirectProbeRequest& message) {
    add(message.probe, message.target, message.piggyback);
  }
  void addOne(const bundle::BundleFetchRequest& message) { add(message.have); }
  void addOne(const bundle::BundleFetchReply& message) { add(message.version, message.envelope); }
  void addOne(const engine::ReplicaLoad& load) {
    add(load.backendHash, load.runningStreams, load.queuedRequests, load.cacheUsedPerMille,
        load.ageMilliseconds);
  }
  void addOne(const engine::LoadDigest& message) { add(message.replicas); }

  std::ostringstream out_;
};

}  // namespace gorsetrail::wire::testing
