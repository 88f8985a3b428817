/// \file Sends this node's in-flight requests at replicas to other nodes, by UDP.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/result.h"
#include "edge/datagram_socket.h"
#include "routing/fleet_load.h"

namespace gorsetrail::edge {

/// \return the digest as the bytes of one datagram.
std::string encodeLoadDigest(const routing::LoadDigest& digest);
/// Errors: `InvalidFrame`.
Result<routing::LoadDigest> decodeLoadDigest(std::string_view bytes);

/// Settings of `LoadExchange`.
struct LoadExchangeKnobs {
  /// Random peers of the same region that receive each digest; bounds a node's cost in large
  /// fleets.
  std::size_t maximumPeers = 16;
  /// Random peers of other regions that receive each digest. Fewer, because they rarely use this
  /// region's replicas and traffic between regions is expensive. Digests to 16 nodes of all regions
  /// were two fifths of that traffic on a day without faults (three regions, 48 nodes that serve
  /// clients).
  std::size_t maximumOtherRegionPeers = 3;
  /// While the digest is unchanged, only every n-th call of `send` sends it.
  std::uint32_t sendsPerUnchangedDigest = 4;
};

/// Addresses of the peers that receive digests.
struct LoadPeers {
  std::vector<std::string> sameRegion;
  std::vector<std::string> otherRegions;
};

/// Exchanges load digests with other nodes. A lost digest is superseded by the next one.
class LoadExchange {
 public:
  /// Called with each digest received from another node.
  using DigestObserver = std::function<void(routing::LoadDigest)>;

  LoadExchange(boost::asio::io_context& context, LoadExchangeKnobs knobs, std::uint64_t seed,
               routing::RegionHash region, DigestObserver onDigest);

  /// Starts receiving digests.
  /// \param address `ip:port`. Errors: `InvalidSettings`.
  Result<Success> listen(const std::string& address);
  /// Sends this node's load at the replicas, and its reports, to random peers.
  void send(const std::vector<routing::ReplicaPtr>& replicas, const LoadPeers& peers,
            routing::LoadReports reports, Instant now);
  /// \return the number of received datagrams that could not be decoded.
  [[nodiscard]] std::uint64_t unreadableDigests() const { return unreadableDigests_; }

 private:
  void sendToRandomPeers(std::vector<std::string> peers, std::size_t limit,
                         const std::string& datagram);
  void onDatagram(std::string_view bytes);
  routing::LoadDigest digestOf(const std::vector<routing::ReplicaPtr>& replicas, Instant now);

  DatagramSocket socket_;
  LoadExchangeKnobs knobs_;
  RandomSource random_;
  routing::RegionHash region_;
  DigestObserver onDigest_;
  std::uint64_t node_ = 0;
  std::uint64_t digestSequence_ = 0;
  std::string lastLoads_;
  std::uint32_t unchangedSends_ = 0;
  std::uint64_t unreadableDigests_ = 0;
};

}  // namespace gorsetrail::edge
