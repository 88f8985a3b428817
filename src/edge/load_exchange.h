/// \file Tells other nodes what this one has under way at replicas, by datagrams.
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

std::string encodeLoadDigest(const routing::LoadDigest& digest);
/// Errors: `InvalidFrame`.
Result<routing::LoadDigest> decodeLoadDigest(std::string_view bytes);

/// Knobs of `LoadExchange`.
struct LoadExchangeKnobs {
  /// Peers that get each digest, chosen at random: the cost of a node does not grow with the fleet.
  std::size_t maximumPeers = 16;
  /// Of other regions besides: they use this region's replicas seldom, and bytes between regions
  /// are dear. Digests to 16 of all nodes were two fifths of these bytes on a day without faults
  /// (three regions, 48 nodes that take clients).
  std::size_t maximumFarPeers = 3;
  /// An unchanged digest is sent every this many calls of `send`.
  std::uint32_t unchangedEvery = 4;
};

/// Where digests arrive.
struct LoadPeers {
  std::vector<std::string> near;  ///< In this node's region.
  std::vector<std::string> far;
};

/// One datagram socket. Lost digests are replaced by the next.
class LoadExchange {
 public:
  using DigestObserver = std::function<void(routing::LoadDigest)>;

  LoadExchange(boost::asio::io_context& context, LoadExchangeKnobs knobs, std::uint64_t seed,
               routing::RegionHash region, DigestObserver onDigest);

  /// \param address `ip:port` that digests arrive at. Errors: `InvalidSettings`.
  Result<Success> listen(const std::string& address);
  /// Sends the load of these replicas to some of the peers.
  void send(const std::vector<routing::ReplicaPtr>& replicas, const LoadPeers& peers, Instant now);
  /// \return datagrams that were no digest; the next digest of the same node replaces them.
  [[nodiscard]] std::uint64_t unreadable() const { return unreadable_; }

 private:
  void sendToSome(std::vector<std::string> peers, std::size_t most, const std::string& datagram);
  void onDatagram(std::string_view bytes);
  routing::LoadDigest digestOf(const std::vector<routing::ReplicaPtr>& replicas, Instant now);

  DatagramSocket socket_;
  LoadExchangeKnobs knobs_;
  RandomSource random_;
  routing::RegionHash region_;
  DigestObserver onDigest_;
  std::uint64_t node_ = 0;
  std::uint64_t beat_ = 0;
  std::string lastLoads_;
  std::uint32_t unchanged_ = 0;
  std::uint64_t unreadable_ = 0;
};

}  // namespace gorsetrail::edge
