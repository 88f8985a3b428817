/// \file Interface to the origins of streams that nodes share with each other.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "base/time.h"
#include "routing/stream_origins.h"

namespace gorsetrail::edge {

/// Result of a lookup, with what led to it.
struct OriginLookup {
  routing::OriginState state;
  std::string source;        ///< Address of the node that knew it; empty: this node, or nobody.
  std::size_t asked = 0;     ///< Other nodes that were asked.
  std::size_t answered = 0;  ///< Of these, nodes that replied.
};

/// Records and finds the origins of streams. A client that continues a stream may reach any node,
/// often because the node that served it has ended.
class StreamOriginDirectory {
 public:
  using Callback = std::function<void(const OriginLookup& lookup)>;

  StreamOriginDirectory() = default;
  virtual ~StreamOriginDirectory() = default;
  StreamOriginDirectory(const StreamOriginDirectory&) = delete;
  StreamOriginDirectory& operator=(const StreamOriginDirectory&) = delete;

  /// Records the origin here and at other nodes. Call it before the first event of the stream is
  /// released: a client that continues the stream can then find the record. Does not block.
  virtual void record(const routing::RequestKey& stream, const routing::StreamOrigin& origin,
                      Duration keepFor) = 0;
  /// Finds the origin of a stream; calls back once, possibly at once.
  virtual void find(const routing::RequestKey& stream, Callback callback) = 0;
};

}  // namespace gorsetrail::edge
