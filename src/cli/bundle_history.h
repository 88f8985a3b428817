/// \file What became of every record of the bundle stream, decided as the nodes decide it.
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

/// A record and its fate.
struct HistoryEntry {
  LogOffset offset;
  BundleVersion version;  ///< 0 when the record is no readable bundle.
  BundleVersion base;
  std::vector<std::string> signers;  ///< Names that the envelope gives; checked when it won.
  std::string digest;                ///< `bundleDigest` of the whole envelope.
  std::optional<Error> refusal;      ///< Empty when the record won its place.
};

/// Replays the stream through `BundleHolder`.
class BundleHistory {
 public:
  BundleHistory(std::string site, std::vector<bundle::Operator> trustAnchors);

  void add(const BundleRecord& record);

  [[nodiscard]] const std::vector<HistoryEntry>& entries() const { return entries_; }
  /// \return the bundle in force by log order; null before the first.
  [[nodiscard]] std::shared_ptr<const bundle::AcceptedBundle> newest() const {
    return holder_.logHead();
  }
  /// \return the record that won the place after `base`, or null.
  [[nodiscard]] const HistoryEntry* winnerAfter(BundleVersion base) const;
  /// \return the record with exactly these bytes: the winning one, else the last; or null.
  [[nodiscard]] const HistoryEntry* find(const std::string& envelope) const;
  /// \return the winning bundle of a version if it is among the last ones kept, or null.
  [[nodiscard]] std::shared_ptr<const bundle::AcceptedBundle> recent(BundleVersion version) const;
  /// \return what the nodes would say if this record were the next.
  [[nodiscard]] Result<BundleVersion> tryNext(const std::string& envelope) const;

 private:
  bundle::BundleHolder holder_;
  std::vector<HistoryEntry> entries_;
  std::deque<std::shared_ptr<const bundle::AcceptedBundle>> recent_;
};

}  // namespace gorsetrail::cli
