/// \file Replays the bundle stream with the same acceptance rules as the nodes.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bundle/bundle_holder.h"
#include "cli/bundle_log.h"

namespace gorsetrail::cli {

/// A record of the bundle stream and whether it was accepted.
struct HistoryEntry {
  LogOffset offset;
  BundleVersion version;  ///< 0 when the record cannot be decoded as a bundle.
  BundleVersion base;
  std::vector<std::string> signers;  ///< Names from the envelope; verified only when accepted.
  std::string digest;                ///< `bundleDigest` of the whole envelope.
  std::optional<Error> refusal;      ///< Empty when the record was accepted.
};

/// Replays the bundle stream through `BundleHolder` and keeps the outcome of each record.
class BundleHistory {
 public:
  BundleHistory(std::string site, std::vector<bundle::Operator> trustAnchors);

  void add(const BundleRecord& record);

  [[nodiscard]] const std::vector<HistoryEntry>& entries() const { return entries_; }
  /// \return the bundle in force by log order; null before the first.
  [[nodiscard]] std::shared_ptr<const bundle::AcceptedBundle> newest() const {
    return holder_.logHead();
  }
  /// \return the accepted record whose base version is `base`, or null.
  [[nodiscard]] const HistoryEntry* winnerAfter(BundleVersion base) const;
  /// \return the record with exactly these bytes: the accepted one, else the last; or null.
  [[nodiscard]] const HistoryEntry* find(const std::string& envelope) const;
  /// \return the accepted bundle of a version if it is still retained, or null.
  [[nodiscard]] std::shared_ptr<const bundle::AcceptedBundle> recent(BundleVersion version) const;
  /// \return what the nodes would decide if this record were appended next.
  [[nodiscard]] Result<BundleVersion> validateNext(const std::string& envelope) const;

 private:
  bundle::BundleHolder holder_;
  std::vector<HistoryEntry> entries_;
  std::deque<std::shared_ptr<const bundle::AcceptedBundle>> recent_;
};

}  // namespace gorsetrail::cli
