/// \file Holds on engines: what the node orders, and what the engines answer.
///
/// A hold keeps a program's prefix in an engine's memory. It is named by program and epoch, carries
/// a deadline, and ends by itself unless its owner renews it.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "scheduling/prefix_chain.h"

namespace gorsetrail::engine {

/// Number of an order to an engine; never reused in one life of a node.
using HoldOrder = StrongId<struct HoldOrderTag, std::uint64_t>;

/// \return `<program hex>.<epoch>`. The epoch is part of the name, so that the order of a former
/// owner, however late, cannot release the hold of its successor.
std::string holdNameOf(const ProgramId& program, Epoch epoch);

/// \name Commands; those to one engine are carried out one after the other, in order
/// @{

/// Place the hold, or renew it, or move it to a longer prefix; answered by a `HoldResult`.
struct PlaceHold {
  HoldOrder order;
  std::string backendName;
  std::string address;  ///< `ip:port`.
  ProgramId program;
  Epoch epoch;
  scheduling::PrefixHash prefix;
  Duration deadline{};  ///< From the moment at which the engine takes it.
};
/// Release a hold; answered by a `HoldResult`.
struct ReleaseHold {
  HoldOrder order;
  std::string backendName;
  std::string address;
  ProgramId program;
  Epoch epoch;
};
/// Read all holds of an engine; answered by a `HoldInventory`, or not at all.
struct ReadHolds {
  std::string backendName;
  std::string address;
};
using HoldCommand = std::variant<PlaceHold, ReleaseHold, ReadHolds>;
/// @}

/// What an engine answered to an order.
enum class HoldOutcome : std::uint8_t {
  Done,           ///< Held, or released (also when there was nothing to release).
  NotCached,      ///< The prefix is no longer in its memory.
  StaleEpoch,     ///< A hold of that name has a higher epoch.
  LimitExceeded,  ///< Too much of its memory is held.
  Failed,         ///< No answer, or one that cannot be read: the order may have taken effect.
};
struct HoldResult {
  HoldOrder order;
  std::string backendName;
  HoldOutcome outcome = HoldOutcome::Failed;
};

/// One hold as an engine lists it.
struct ListedHold {
  std::string name;
  std::string program;  ///< 32 hexadecimal digits if it is of a node.
  Epoch epoch;
};
/// All holds of one engine.
struct HoldInventory {
  std::string backendName;
  std::vector<ListedHold> holds;
};

}  // namespace gorsetrail::engine
