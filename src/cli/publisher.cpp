#include "cli/publisher.h"

#include <algorithm>

#include "bundle/bundle_digest.h"
#include "bundle/signature_check.h"

namespace gorsetrail::cli {
namespace {

constexpr int kReadsAfterAppend = 20;
constexpr Duration kPauseBetweenReads = milliseconds(250);

std::string joined(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ", ") + name;
  }
  return text.empty() ? "nobody" : text;
}

bool haveSameSigningRules(const bundle::Bundle& first, const bundle::Bundle& second) {
  return first.signaturesNeeded == second.signaturesNeeded &&
         std::equal(first.operators.begin(), first.operators.end(), second.operators.begin(),
                    second.operators.end(), [](const auto& one, const auto& other) {
                      return one.name == other.name && one.publicKey == other.publicKey;
                    });
}

/// Requires signatures of the new operators, because with a wrong key nobody could publish the next
/// version.
Result<Success> checkOwnOperatorsSigned(const std::string& envelope,
                                        const bundle::AcceptedBundle* newest) {
  const Result<bundle::SignedBundle> decoded = bundle::decodeEnvelope(envelope);
  if (!succeeded(decoded)) {
    return errorOf(decoded);
  }
  const auto parsed = bundle::parseBundle(valueOf(decoded).bundleJson);
  if (const auto* errors = std::get_if<std::vector<Error>>(&parsed)) {
    return errors->front();
  }
  const auto& content = std::get<bundle::Bundle>(parsed);
  const std::size_t signers = bundle::validSigners(valueOf(decoded), content.operators).size();
  const bool isUnchanged = newest != nullptr && haveSameSigningRules(content, newest->bundle);
  if (isUnchanged || signers >= content.signaturesNeeded) {
    return Success{};
  }
  return Error{ErrorKind::InvalidSignature, "/signatures",
               std::to_string(signers) +
                   " of this version's own operators signed it, but it asks " +
                   std::to_string(content.signaturesNeeded) +
                   " of them for the next; a wrong key would lock everybody out",
               "have its own operators sign it too"};
}

}  // namespace

Result<Success> Publisher::refresh() {
  const Result<std::vector<BundleRecord>> records = log_.readNewRecords();
  if (!succeeded(records)) {
    return errorOf(records);
  }
  for (const BundleRecord& record : valueOf(records)) {
    history_.add(record);
  }
  return Success{};
}

Result<Publication> Publisher::outcomeOf(const HistoryEntry& entry) const {
  if (!entry.refusal) {
    return Publication{entry.version, entry.offset};
  }
  Error error = *entry.refusal;
  const HistoryEntry* winner = history_.winnerAfter(entry.base);
  if (winner != nullptr && error.kind == ErrorKind::BundleConflict) {
    error.reason = "version " + std::to_string(entry.version.value()) + " lost: version " +
                   std::to_string(winner->version.value()) + " by " + joined(winner->signers) +
                   " (offset " + std::to_string(winner->offset.value()) +
                   ") took the place after version " + std::to_string(entry.base.value());
  }
  return error;
}

Result<Publication> Publisher::publish(const std::string& envelope) {
  const Result<Success> read = refresh();
  if (!succeeded(read)) {
    return errorOf(read);
  }
  const HistoryEntry* own = history_.find(envelope);
  if (own != nullptr && !own->refusal) {
    return Publication{own->version, own->offset, true};
  }
  const Result<BundleVersion> next = history_.validateNext(envelope);
  if (!succeeded(next)) {
    BundleHistory afterwards = history_;
    afterwards.add(BundleRecord{LogOffset(), envelope});
    return outcomeOf(afterwards.entries().back());
  }
  const Result<Success> rules = checkOwnOperatorsSigned(envelope, history_.newest().get());
  if (!succeeded(rules)) {
    return errorOf(rules);
  }
  return waitForOwnRecord(envelope, log_.append(envelope));
}

Result<Publication> Publisher::waitForOwnRecord(const std::string& envelope,
                                                const Result<LogOffset>& appended) {
  const std::size_t known = history_.entries().size();
  const std::string digest = bundle::bundleDigest(envelope);
  for (int attempt = 0; attempt < kReadsAfterAppend; ++attempt) {
    // A failed read is retried, because reads have no side effects.
    refresh();
    const auto& entries = history_.entries();
    const auto own =
        std::find_if(entries.begin() + static_cast<std::ptrdiff_t>(known), entries.end(),
                     [&digest](const HistoryEntry& entry) { return entry.digest == digest; });
    if (own != entries.end()) {
      return outcomeOf(*own);
    }
    pause_(kPauseBetweenReads);
  }
  const std::string reason =
      succeeded(appended)
          ? "the log accepted the record at offset " + std::to_string(valueOf(appended).value()) +
                " but does not return it yet"
          : "the append got no answer (" + errorOf(appended).reason +
                ") and the record is not in the log; it may still be appended";
  return Error{ErrorKind::OutcomeNotKnown, "--log", reason,
               "publish the same file again: it looks in the log before it appends"};
}

}  // namespace gorsetrail::cli
