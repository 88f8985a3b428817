#include <algorithm>

#include "wire/codec.h"

namespace gorsetrail::wire {
namespace {

/// An empty buffer with a larger capacity is released.
constexpr std::size_t kMaximumIdleCapacityBytes = std::size_t{16} * 1024;

std::size_t lengthAt(const std::vector<std::uint8_t>& bytes, std::size_t position) {
  std::size_t length = 0;
  for (std::size_t index = 0; index < kLengthPrefixBytes; ++index) {
    length |= std::size_t{bytes[position + index]} << (8 * index);
  }
  return length;
}

}  // namespace

Result<Success> FrameReader::feed(std::span<const std::uint8_t> bytes) {
  buffered_.insert(buffered_.end(), bytes.begin(), bytes.end());
  // Validates each length when its prefix arrives, before waiting for the rest of the frame.
  while (validatedEnd_ + kLengthPrefixBytes <= buffered_.size()) {
    const std::size_t length = lengthAt(buffered_, validatedEnd_);
    if (length == 0 || length > kMaximumFrameBytes) {
      return Error{.kind = ErrorKind::InvalidFrame,
                   .field = "length",
                   .reason = "a frame claims " + std::to_string(length) + " bytes",
                   .remedy = "check that nothing but gorsetraild connects to the peers' port"};
    }
    validatedEnd_ += kLengthPrefixBytes + length;
  }
  return Success{};
}

bool FrameReader::next(std::vector<std::uint8_t>& frame) {
  if (pendingBytes() < kLengthPrefixBytes) {
    return false;
  }
  const std::size_t length = lengthAt(buffered_, consumed_);
  const std::size_t end = consumed_ + kLengthPrefixBytes + length;
  if (end > buffered_.size()) {
    discardConsumed();
    return false;
  }
  const auto begin = buffered_.begin() + static_cast<std::ptrdiff_t>(consumed_);
  frame.assign(begin + kLengthPrefixBytes, begin + static_cast<std::ptrdiff_t>(end - consumed_));
  consumed_ = end;
  if (consumed_ == buffered_.size()) {
    discardConsumed();
  }
  return true;
}

void FrameReader::discardConsumed() {
  buffered_.erase(buffered_.begin(), buffered_.begin() + static_cast<std::ptrdiff_t>(consumed_));
  validatedEnd_ -= consumed_;
  consumed_ = 0;
  if (buffered_.empty() && buffered_.capacity() > kMaximumIdleCapacityBytes) {
    buffered_.shrink_to_fit();
  }
}

}  // namespace gorsetrail::wire
