/// \file Bounds the memory that unfinished answers of replicas take, over all requests of a node.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace gorsetrail::edge {

/// The limit where a node's memory is not known.
inline constexpr std::size_t kDefaultAnswerBytes = std::size_t{64} * 1024 * 1024;

/// A plain answer is held until it is whole, and events until they may be released. A replica that
/// sends bytes without end must not take the memory of other requests: beyond the limit, the
/// largest unfinished answer is ended. No I/O, no clock.
class AnswerMemory {
 public:
  using Number = std::uint64_t;

  explicit AnswerMemory(std::size_t maximumBytes) : maximumBytes_(maximumBytes) {}

  /// \param onTooLarge ends the answer, and calls `remove`.
  /// \return the number of the answer.
  Number add(std::function<void()> onTooLarge);
  /// Sets what an answer holds. May end the answer, or larger ones.
  void update(Number answer, std::size_t bytes);
  /// Has no effect if the answer was removed before.
  void remove(Number answer);

  [[nodiscard]] std::size_t bytes() const { return bytes_; }
  /// \return the number of answers ended for their size.
  [[nodiscard]] std::uint64_t ended() const { return ended_; }

 private:
  struct Held {
    std::size_t bytes = 0;
    std::function<void()> onTooLarge;
  };
  std::size_t maximumBytes_;
  std::map<Number, Held> answers_;
  Number lastNumber_ = 0;
  std::size_t bytes_ = 0;
  std::uint64_t ended_ = 0;
};

}  // namespace gorsetrail::edge
