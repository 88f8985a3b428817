/// \file Strong identifiers: numbers and digests that cannot be mixed up with each other.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <cstring>
#include <functional>
#include <string>
#include <string_view>

// `NOLINT(modernize-use-nullptr)` on a defaulted `<=>`: clang-tidy 14 takes the literal 0 that the
// compiler compares the result with for a null pointer.

namespace gorsetrail {

/// A number that names one kind of thing. Two ids of different tags never convert.
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

/// A node (one `gorsetraild` process) as configured by the platform; unique in the fleet.
using NodeId = StrongId<struct NodeIdTag, std::uint32_t>;
/// One life of a node. A restarted node has a higher incarnation and an empty memory.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/// Fences writers of one program: replicas refuse any lower epoch than the highest they promised.
using Epoch = StrongId<struct EpochTag, std::uint64_t>;
/// Position of a record in one program's journal, from 1.
using SequenceNumber = StrongId<struct SequenceNumberTag, std::uint64_t>;
/// Number of a call within its program, given by the owner, from 1.
using CallNumber = StrongId<struct CallNumberTag, std::uint32_t>;
/// Number of a dispatch of one call, from 1.
using AttemptNumber = StrongId<struct AttemptNumberTag, std::uint32_t>;
/// Version of the operators' bundle; only ever rises.
using BundleVersion = StrongId<struct BundleVersionTag, std::uint64_t>;
/// Position in a stream of the platform's log.
using LogOffset = StrongId<struct LogOffsetTag, std::uint64_t>;
/// A call in the memory of one node, from arrival to final answer; never reused in one life.
using CallHandle = StrongId<struct CallHandleTag, std::uint64_t>;

/// 128 bits of SHA-256, used as a name for a longer text.
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

/// Names a program: digest of its home zone, tenant and the caller's name for it.
using ProgramId = Digest128<struct ProgramIdTag>;
/// Names a caller's request within its program: digest of its `Idempotency-Key`.
using RequestDigest = Digest128<struct RequestDigestTag>;
/// Names the content of a request or of a program's history.
using ContentDigest = Digest128<struct ContentDigestTag>;

/// The caller-visible name of a program. The home zone never changes: its zone's nodes
/// hold the journal, so that a zone that is cut off can go on by itself.
struct ProgramKey {
  std::string homeZone;
  std::string tenant;
  std::string name;
  auto operator<=>(const ProgramKey&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// \return the id under which every node knows the program.
ProgramId programIdOf(const ProgramKey& key);
/// \return the digest of a caller's request id.
RequestDigest requestDigestOf(std::string_view idempotencyKey);
/// \return the digest of any content.
ContentDigest contentDigestOf(std::string_view content);

/// Names one dispatch; engines and application back ends see it as `X-Request-Id`.
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
