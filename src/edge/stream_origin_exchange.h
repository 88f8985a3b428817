/// \file Copies the origins of streams to other nodes and asks for them, by UDP.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "edge/datagram_socket.h"
#include "edge/stream_origin_directory.h"
#include "edge/stream_origin_holders.h"
#include "edge/stream_origin_message.h"
#include "services/timer_service.h"

namespace gorsetrail::edge {

/// Settings of `StreamOriginExchange`.
struct StreamOriginExchangeKnobs {
  /// Nodes that receive a copy of each record. With 4 copies in the region, a stream's origin is
  /// known after the loss of four fifths of the nodes in 6 of 10 cases.
  HolderCounts copies{4, 1};
  /// Nodes that are asked. More than hold copies, because the membership may have changed since.
  HolderCounts asked{8, 2};
  /// A query without a reply is repeated once after this time, because datagrams may be lost.
  Duration repeatAfter = milliseconds(60);
  /// A lookup ends after this time: a few round trips between regions.
  Duration lookupTimeLimit = milliseconds(200);
  /// Longest lifetime of a record that another node asks for.
  Duration maximumLifetime = seconds(600);
  std::size_t maximumLookups = 4096;  ///< Further ones fail at once.
};

/// What the exchange needs to know of the fleet.
struct StreamOriginSources {
  /// Live nodes that stay, with their relay addresses.
  std::function<const std::vector<ledger::NodeCandidate>&()> candidates;
  const routing::ZoneTable* zones = nullptr;
};

/// Copies of an origin are sent without waiting for replies, so that they add no time to the first
/// event. A lost copy is safe: a stream whose origin nobody knows is not continued.
class StreamOriginExchange final : public StreamOriginDirectory {
 public:
  /// \param timers outlives this object. \param ownZone zone of this node.
  /// \param seed makes query numbers of different processes differ.
  StreamOriginExchange(boost::asio::io_context& context, services::TimerService& timers,
                       std::function<Instant()> clock, StreamOriginSources sources,
                       std::string ownZone, StreamOriginExchangeKnobs knobs, std::uint64_t seed);

  /// Starts exchanging messages. Errors: `InvalidSettings`.
  /// \param port the same on all nodes.
  Result<Success> listen(const std::string& ip, std::uint16_t port);

  void record(const routing::StreamId& stream, const routing::StreamOrigin& origin,
              Duration keepFor) override;
  void find(const routing::StreamId& stream, Callback callback) override;

  /// \return the number of streams whose origin this node holds.
  [[nodiscard]] std::size_t recordCount() const { return origins_.size(); }
  [[nodiscard]] std::uint64_t droppedRecords() const { return origins_.droppedRecords(); }
  [[nodiscard]] std::uint64_t unreadableMessages() const { return unreadableMessages_; }

 private:
  struct Lookup {
    routing::StreamId stream;
    Callback callback;
    std::set<std::string> silent;  ///< Asked nodes without a reply.
    std::size_t asked = 0;
  };
  void onDatagram(const std::string& sender, std::string_view bytes);
  void onMessage(const std::string& sender, const OriginRecord& record);
  void onMessage(const std::string& sender, const OriginQuery& query);
  void onMessage(const std::string& sender, const OriginReply& reply);
  void askSilentNodes(std::uint64_t number);
  void finish(std::uint64_t number, const routing::OriginState& state, const std::string& source);
  [[nodiscard]] std::vector<std::string> holdersOf(const routing::StreamId& stream,
                                                   HolderCounts counts) const;
  void send(const std::string& address, const OriginMessage& message);

  services::TimerService& timers_;
  std::function<Instant()> clock_;
  StreamOriginSources sources_;
  std::string ownZone_;
  StreamOriginExchangeKnobs knobs_;
  DatagramSocket socket_;
  std::string ownIp_;
  std::string portSuffix_;  ///< Empty before `listen`: this is the only node.
  routing::StreamOrigins origins_{{}};
  std::map<std::uint64_t, Lookup> lookups_;
  std::uint64_t nextNumber_;
  std::uint64_t unreadableMessages_ = 0;
};

}  // namespace gorsetrail::edge
