#include "cli/bundle_history.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "bundle/bundle_digest.h"
#include "bundle/bundle_reader.h"

namespace gorsetrail::cli {
namespace {

/// Accepted bundles retained, so that a conflict can be reported with the changes since its base.
constexpr std::size_t kMaximumRecentVersions = 64;

HistoryEntry describe(const BundleRecord& record) {
  HistoryEntry entry;
  entry.offset = record.offset;
  entry.digest = bundle::bundleDigest(record.envelope);
  const Result<bundle::SignedBundle> decoded = bundle::decodeEnvelope(record.envelope);
  if (!succeeded(decoded)) {
    return entry;
  }
  const bundle::Bundle content =
      bundle::readBundle(nlohmann::json::parse(valueOf(decoded).bundleJson, nullptr, false));
  entry.version = content.version;
  entry.base = content.base;
  for (const bundle::OperatorSignature& signature : valueOf(decoded).signatures) {
    entry.signers.push_back(signature.operatorName);
  }
  return entry;
}

}  // namespace

BundleHistory::BundleHistory(std::string site, std::vector<bundle::Operator> trustAnchors)
    : holder_(std::move(site), std::move(trustAnchors)) {}

void BundleHistory::add(const BundleRecord& record) {
  HistoryEntry entry = describe(record);
  const Result<BundleVersion> result = holder_.offerFromLog(record.envelope);
  if (succeeded(result)) {
    recent_.push_back(holder_.logHead());
    if (recent_.size() > kMaximumRecentVersions) {
      recent_.pop_front();
    }
  } else {
    entry.refusal = errorOf(result);
  }
  entries_.push_back(std::move(entry));
}

const HistoryEntry* BundleHistory::winnerAfter(BundleVersion base) const {
  const auto found = std::find_if(
      entries_.begin(), entries_.end(),
      [base](const HistoryEntry& entry) { return !entry.refusal && entry.base == base; });
  return found == entries_.end() ? nullptr : &*found;
}

const HistoryEntry* BundleHistory::find(const std::string& envelope) const {
  const std::string digest = bundle::bundleDigest(envelope);
  const HistoryEntry* last = nullptr;
  for (const HistoryEntry& entry : entries_) {
    if (entry.digest == digest) {
      last = &entry;
      if (!entry.refusal) {
        return last;
      }
    }
  }
  return last;
}

std::shared_ptr<const bundle::AcceptedBundle> BundleHistory::recent(BundleVersion version) const {
  const auto found = std::find_if(recent_.begin(), recent_.end(), [version](const auto& accepted) {
    return accepted->bundle.version == version;
  });
  return found == recent_.end() ? nullptr : *found;
}

Result<BundleVersion> BundleHistory::validateNext(const std::string& envelope) const {
  bundle::BundleHolder trial = holder_;
  return trial.offerFromLog(envelope);
}

}  // namespace gorsetrail::cli
