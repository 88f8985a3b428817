/// \file Shares what nodes know of single requests, by UDP: origins of streams, and unanswered
/// runs.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "base/result.h"
#include "edge/datagram_socket.h"
#include "edge/request_record_message.h"
#include "edge/request_record_peers.h"
#include "edge/run_history_sharing.h"
#include "edge/stream_origin_directory.h"
#include "services/timer_service.h"

namespace gorsetrail::edge {

/// Settings of `RequestRecordExchange`.
struct RequestRecordExchangeKnobs {
  /// Nodes that receive a copy of each origin. With 4 copies in the region, a stream's origin is
  /// known after the loss of four fifths of the nodes in 6 of 10 cases.
  HolderCounts copies{4, 1};
  /// Nodes that are asked. More than hold copies, because the membership may have changed since.
  HolderCounts asked{8, 2};
  /// A query without a reply is repeated once after this time, because datagrams may be lost.
  Duration repeatAfter = milliseconds(60);
  /// A lookup ends after this time: a few round trips between regions.
  Duration lookupTimeLimit = milliseconds(200);
  /// Longest lifetime of an origin that another node asks for.
  Duration maximumLifetime = seconds(600);
  std::size_t maximumLookups = 4096;  ///< Further ones fail at once.
  RunHistorySharingKnobs runHistories;
};

/// Origins are copied to a few nodes, which are asked when a client continues a stream: each stream
/// has one, and few are needed. Unanswered runs are told to all nodes: they are few, and each
/// request is checked against them. No message is awaited, so that none adds time to an event or a
/// dispatch. A lost copy of an origin is safe: a stream whose origin nobody knows is not continued.
class RequestRecordExchange final : public StreamOriginDirectory {
 public:
  /// \param timers outlives this object. \param ownZone zone of this node.
  /// \param registrations this node's view of the replicas' registrations.
  /// \param seed makes query numbers of different processes differ.
  RequestRecordExchange(boost::asio::io_context& context, services::TimerService& timers,
                        std::function<Instant()> clock, RequestRecordSources sources,
                        std::string ownZone,
                        std::function<routing::RegistrationView()> registrations,
                        RequestRecordExchangeKnobs knobs, std::uint64_t seed);

  /// Starts exchanging messages. Errors: `InvalidSettings`.
  /// \param port the same on all nodes.
  Result<Success> listen(const std::string& ip, std::uint16_t port);

  void record(const routing::RequestKey& stream, const routing::StreamOrigin& origin,
              Duration keepFor) override;
  void find(const routing::RequestKey& stream, Callback callback) override;

  [[nodiscard]] RunHistorySharing& runHistories() { return runHistories_; }
  [[nodiscard]] const RunHistorySharing& runHistories() const { return runHistories_; }

  /// \return the number of streams whose origin this node holds.
  [[nodiscard]] std::size_t originCount() const { return origins_.size(); }
  [[nodiscard]] std::uint64_t droppedOrigins() const { return origins_.droppedRecords(); }
  [[nodiscard]] std::uint64_t unreadableMessages() const { return unreadableMessages_; }

 private:
  struct Lookup {
    routing::RequestKey stream;
    Callback callback;
    std::set<std::string> silent;  ///< Asked nodes without a reply.
    std::size_t asked = 0;
  };
  void onDatagram(const std::string& sender, std::string_view bytes);
  void onMessage(const std::string& sender, const OriginRecord& record);
  void onMessage(const std::string& sender, const OriginQuery& query);
  void onMessage(const std::string& sender, const OriginReply& reply);
  void onMessage(const std::string& sender, const RunHistoriesMessage& message);
  void onMessage(const std::string& sender, const RunHistoriesQuery& query);
  void askSilentNodes(std::uint64_t number);
  void finish(std::uint64_t number, const routing::OriginState& state, const std::string& source);
  /// Encodes the message once for all addresses.
  template <class Addresses>
  void send(const Addresses& addresses, const RequestRecordMessage& message);

  services::TimerService& timers_;
  std::function<Instant()> clock_;
  RequestRecordExchangeKnobs knobs_;
  RequestRecordPeers peers_;
  DatagramSocket socket_;
  routing::StreamOrigins origins_{{}};
  RunHistorySharing runHistories_;
  std::map<std::uint64_t, Lookup> lookups_;
  std::uint64_t nextNumber_;
  std::uint64_t unreadableMessages_ = 0;
};

}  // namespace gorsetrail::edge
