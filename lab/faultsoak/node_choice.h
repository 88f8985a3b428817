/// \file How a client of the soak treats nodes: which one gets its next request, and when a request
/// may be sent again.
#pragma once

#include <cstddef>
#include <optional>

#include "base/random.h"
#include "lab/faultsoak/promise_watcher.h"

namespace gorsetrail::lab {

/// Keeps one client at one node while a connection to it is open, so that nodes that stop get
/// requests until their processes are gone; a new connection goes to a node chosen at random.
class NodeChoice {
 public:
  /// \param nodes how many there are; at least one.
  explicit NodeChoice(std::size_t nodes) : nodes_(nodes) {}

  /// \return the node that the client used last; nothing before its first request.
  [[nodiscard]] std::optional<std::size_t> current() const { return current_; }
  /// \param connectionOpen whether a connection to `current()` waits for its next request.
  /// \return the node that gets the next request; never the one that failed last, if there is
  /// another.
  std::size_t next(bool connectionOpen, RandomSource& random);
  /// The last request found no answer at `current()`.
  void onNoAnswer() { avoidsCurrent_ = true; }

 private:
  std::size_t nodes_;
  std::optional<std::size_t> current_;
  bool avoidsCurrent_ = false;
};

/// \return whether an answer promises that its request has not run and never will.
bool promisesNotRun(unsigned status);

/// \return whether the protocol lets a client send the request again, under a new id.
/// Requests that may run once at the most go again after a promise, or when not a byte of them left
/// on a kept connection that the node had closed; whoever finds such a connection closed behind its
/// request cannot know whether the node read it.
bool maySendAgain(SoakRoute route, const SoakAnswer& answer);

}  // namespace gorsetrail::lab
