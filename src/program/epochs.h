/// \file Layout of epochs: how they stay unique to a candidate and how a restarted replica
/// raises them.
///
/// An epoch is `generation (15 bits) | round (32 bits) | node (16 bits)`, compared as one number.
/// The node in the low bits keeps two candidates from ever asking for the same epoch. The
/// generation rises when a replica that lost its memory asks the others to fence everything that
/// its earlier life may have granted (see `journal_replica.h`). The top bit marks that request.
#pragma once

#include <cstdint>

#include "base/ids.h"

namespace gorsetrail::program {

inline constexpr unsigned kEpochNodeBits = 16;
inline constexpr unsigned kEpochGenerationShift = 48;
inline constexpr std::uint64_t kEpochNodeMask = (std::uint64_t{1} << kEpochNodeBits) - 1;
inline constexpr std::uint64_t kEpochBelowGenerationMask =
    (std::uint64_t{1} << kEpochGenerationShift) - 1;
inline constexpr std::uint64_t kBarrierRequestBit = std::uint64_t{1} << 63;
/// Set in the floor that a replica reports when it has met an earlier life of the asker.
inline constexpr std::uint64_t kEarlierLifeBit = 1;
/// Set there when the answerer itself restarted: what it met before is forgotten.
inline constexpr std::uint64_t kCannotVouchBit = 2;
/// Set there, and in `SealGranted::lastWritten` of a grant without a record, when the replica may
/// have forgotten the program and nobody told it otherwise.
inline constexpr std::uint64_t kForgetfulBit = 4;
inline constexpr std::uint64_t kBarrierReplyBits =
    kEarlierLifeBit | kCannotVouchBit | kForgetfulBit;

/// \return the lowest epoch above `promised` that only `self` can ask for.
inline Epoch epochAbove(Epoch promised, NodeId self) {
  const std::uint64_t round = (promised.value() >> kEpochNodeBits) + 1;
  return Epoch((round << kEpochNodeBits) | (self.value() & kEpochNodeMask));
}

/// \return the first epoch a node asks for when it knows nothing of the program.
inline Epoch firstEpoch(NodeId self) { return epochAbove(Epoch{}, self); }

/// \return whether the epoch was made by that node.
inline bool isEpochOf(Epoch epoch, NodeId node) {
  return (epoch.value() & kEpochNodeMask) == (node.value() & kEpochNodeMask);
}

/// \return whether two epochs are of the same round of the same generation.
inline bool isSameRound(Epoch one, Epoch other) {
  return (one.value() >> kEpochNodeBits) == (other.value() >> kEpochNodeBits);
}

/// \return the floor above every epoch of the generation of `promised`; no candidate's own.
inline Epoch barrierAbove(Epoch promised) {
  const std::uint64_t generation = (promised.value() >> kEpochGenerationShift) + 1;
  return Epoch(generation << kEpochGenerationShift);
}

/// \return whether a promise is such a floor: it fences, but nobody owns it.
inline bool isBarrier(Epoch promised) {
  return promised.value() != 0 && (promised.value() & kEpochBelowGenerationMask) == 0;
}

/// \return the epoch field of a barrier request; distinct for each life of the asker, so that an
/// answer to an earlier life is never taken for one to this life.
inline Epoch barrierRequestEpoch(Incarnation incarnation) {
  return Epoch(kBarrierRequestBit | (incarnation.value() & ~kBarrierRequestBit));
}

inline bool isBarrierRequest(Epoch epoch) { return (epoch.value() & kBarrierRequestBit) != 0; }

}  // namespace gorsetrail::program
