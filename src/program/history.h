/// \file History of one branch: which messages a call must begin with.
///
/// A branch's history is a chain of messages; a digest over the chain is kept, not the text (the
/// text is in the journal's entries). A call whose messages begin with that chain adds the rest;
/// any other is refused, so that no turn is lost and no other program's turns are mixed in.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "program/journal_interface.h"

namespace gorsetrail::program {

/// Messages that the branch's callers know to be acknowledged.
class BranchHistory {
 public:
  /// \return the JSON array of the messages that a call adds, or `HistoryMismatch` /
  /// `InvalidField` with the remedy.
  [[nodiscard]] Result<std::string> additionOf(std::string_view messages) const;
  /// A call completed: its messages and the answer are part of the history from now on.
  void extend(std::string_view addedMessages, std::string_view answer);
  /// \return how many messages the history has.
  [[nodiscard]] std::size_t size() const { return size_; }

 private:
  std::size_t size_ = 0;
  ContentDigest chain_;
};

/// \return the id of a branch by its path; 0 for the root.
BranchId branchIdOf(std::string_view branchPath);

/// \return the messages and answers of a branch's completed calls, as a JSON array.
std::string renderHistory(const std::vector<JournalEntry>& entries, BranchId branch);

}  // namespace gorsetrail::program
