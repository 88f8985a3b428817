/// \file Strongly typed identifiers: numbers and digests that do not convert into each other.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <cstring>
#include <functional>
#include <string>
#include <string_view>

// `NOLINT(modernize-use-nullptr)` on a defaulted `<=>`: clang-tidy 14 mistakes the literal 0 in the
// generated comparison for a null pointer.

namespace gorsetrail {

/// A numeric identifier. Identifiers with different tags do not convert into each other.
template <class Tag, class Representation>
class StrongId {
 public:
  constexpr StrongId() = default;
  constexpr explicit StrongId(Representation value) : value_(value) {}

  /// \return the raw number, for encoding and printing only.
  [[nodiscard]] constexpr Representation value() const { return value_; }
  constexpr auto operator<=>(const StrongId&) const = default;  // NOLINT(modernize-use-nullptr)

  /// \return the id that follows this one.
  [[nodiscard]] constexpr StrongId next() const {
    return StrongId(static_cast<Representation>(value_ + 1));
  }

 private:
  Representation value_{};
};

/// Identifies a node (one `gorsetraild` process); unique in the fleet, assigned by the platform.
using NodeId = StrongId<struct NodeIdTag, std::uint32_t>;
/// Identifies one run of a node process. A restart increases it and loses all in-memory state.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/// Fences writers of one program: replicas reject epochs below the highest one they promised.
using Epoch = StrongId<struct EpochTag, std::uint64_t>;
/// Position of a record in a program's journal, from 1.
using SequenceNumber = StrongId<struct SequenceNumberTag, std::uint64_t>;
/// Number of a call within its program, assigned by the program's owner node, from 1.
using CallNumber = StrongId<struct CallNumberTag, std::uint32_t>;
/// Number of a dispatch attempt of one call, from 1.
using AttemptNumber = StrongId<struct AttemptNumberTag, std::uint32_t>;
/// Version of the operators' configuration bundle; increases monotonically.
using BundleVersion = StrongId<struct BundleVersionTag, std::uint64_t>;
/// Position of a record in a stream of the platform's log.
using LogOffset = StrongId<struct LogOffsetTag, std::uint64_t>;
/// Identifies a call in the memory of one node, from arrival to the final answer. It is not reused
/// within one incarnation.
using CallHandle = StrongId<struct CallHandleTag, std::uint64_t>;

/// The first 128 bits of a SHA-256 digest, used as an identifier.
template <class Tag>
struct Digest128 {
  std::array<std::uint8_t, 16> bytes{};
  auto operator<=>(const Digest128&) const = default;  // NOLINT(modernize-use-nullptr)
  /// \return 32 lower-case hexadecimal digits.
  [[nodiscard]] std::string toHex() const {
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string text;
    text.reserve(32);
    for (const std::uint8_t byte : bytes) {
      text.push_back(kDigits[byte >> 4]);
      text.push_back(kDigits[byte & 15]);
    }
    return text;
  }
};

/// Identifies a program: digest of its `ProgramKey`.
using ProgramId = Digest128<struct ProgramIdTag>;
/// Identifies a caller's request within its program: digest of its `Idempotency-Key` header.
using RequestDigest = Digest128<struct RequestDigestTag>;
/// Digest of the content of a request or of a program's history.
using ContentDigest = Digest128<struct ContentDigestTag>;

/// The caller-visible name of a program. The home zone never changes. Its nodes store the program's
/// journal, so that a partitioned zone can continue its own programs.
struct ProgramKey {
  std::string homeZone;
  std::string tenant;
  std::string name;
  auto operator<=>(const ProgramKey&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// \return the id of the program, which is the same on every node.
ProgramId programIdOf(const ProgramKey& key);
/// \return the digest of a caller's request id.
RequestDigest requestDigestOf(std::string_view idempotencyKey);
ContentDigest contentDigestOf(std::string_view content);

/// Identifies one dispatch; sent to engines and application back ends as `X-Request-Id`.
struct DispatchId {
  ProgramId program;
  Epoch epoch;
  CallNumber call;
  AttemptNumber attempt;
  auto operator<=>(const DispatchId&) const = default;  // NOLINT(modernize-use-nullptr)
  /// \return `<program hex>.<epoch>.<call>.<attempt>`.
  [[nodiscard]] std::string toText() const;
};

}  // namespace gorsetrail

template <class Tag, class Representation>
struct std::hash<gorsetrail::StrongId<Tag, Representation>> {
  std::size_t operator()(const gorsetrail::StrongId<Tag, Representation>& id) const noexcept {
    return std::hash<Representation>{}(id.value());
  }
};

template <class Tag>
struct std::hash<gorsetrail::Digest128<Tag>> {
  std::size_t operator()(const gorsetrail::Digest128<Tag>& digest) const noexcept {
    std::size_t head = 0;
    std::memcpy(&head, digest.bytes.data(), sizeof(head));
    return head;
  }
};
