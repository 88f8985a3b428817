#include "edge/stream_origin_exchange.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::edge {
namespace {

std::string ipOf(std::string_view address) {
  return std::string(address.substr(0, address.rfind(':')));
}

}  // namespace

StreamOriginExchange::StreamOriginExchange(boost::asio::io_context& context,
                                           services::TimerService& timers,
                                           std::function<Instant()> clock,
                                           StreamOriginSources sources, std::string ownZone,
                                           StreamOriginExchangeKnobs knobs, std::uint64_t seed)
    : timers_(timers),
      clock_(std::move(clock)),
      sources_(std::move(sources)),
      ownZone_(std::move(ownZone)),
      knobs_(knobs),
      socket_(context,
              [this](const DatagramSocket::Endpoint& sender, std::string_view bytes) {
                onDatagram(sender.address().to_string() + ":" + std::to_string(sender.port()),
                           bytes);
              }),
      nextNumber_(seed) {}

Result<Success> StreamOriginExchange::listen(const std::string& ip, std::uint16_t port) {
  auto listening = socket_.listen(ip + ":" + std::to_string(port));
  if (succeeded(listening)) {
    ownIp_ = ip;
    portSuffix_ = ":" + std::to_string(port);
  }
  return listening;
}

std::vector<std::string> StreamOriginExchange::holdersOf(const routing::StreamId& stream,
                                                         HolderCounts counts) const {
  if (portSuffix_.empty()) {
    return {};
  }
  const std::vector<ledger::NodeCandidate>& candidates = sources_.candidates();
  const auto own = std::find_if(candidates.begin(), candidates.end(),
                                [this](const auto& node) { return ipOf(node.address) == ownIp_; });
  std::vector<std::string> holders =
      selectHolders(stream, candidates, own == candidates.end() ? std::string_view() : own->address,
                    sources_.zones->regionOf(ownZone_), *sources_.zones, counts);
  for (std::string& holder : holders) {
    holder = ipOf(holder) + portSuffix_;
  }
  return holders;
}

void StreamOriginExchange::send(const std::string& address, const OriginMessage& message) {
  socket_.send(address, encodeOriginMessage(message));
}

void StreamOriginExchange::record(const routing::StreamId& stream,
                                  const routing::StreamOrigin& origin, Duration keepFor) {
  const Instant now = clock_();
  origins_.record(stream, origin, now + keepFor, now);
  const std::string datagram = encodeOriginMessage(OriginRecord{stream, origin, keepFor});
  for (const std::string& holder : holdersOf(stream, knobs_.copies)) {
    socket_.send(holder, datagram);
  }
}

void StreamOriginExchange::find(const routing::StreamId& stream, Callback callback) {
  const routing::OriginState own = origins_.find(stream, clock_());
  if (!std::holds_alternative<routing::UnknownOrigin>(own)) {
    callback({own, {}, 0, 0});
    return;
  }
  const std::vector<std::string> holders = holdersOf(stream, knobs_.asked);
  if (holders.empty() || lookups_.size() >= knobs_.maximumLookups) {
    callback({routing::UnknownOrigin{}, {}, 0, 0});
    return;
  }
  const std::uint64_t number = nextNumber_++;
  lookups_[number] = {
      stream, std::move(callback), {holders.begin(), holders.end()}, holders.size()};
  askSilentNodes(number);
  timers_.runAfter(knobs_.repeatAfter, [this, number] { askSilentNodes(number); });
  timers_.runAfter(knobs_.lookupTimeLimit,
                   [this, number] { finish(number, routing::UnknownOrigin{}, {}); });
}

void StreamOriginExchange::askSilentNodes(std::uint64_t number) {
  const auto found = lookups_.find(number);
  if (found == lookups_.end()) {
    return;
  }
  const std::string datagram = encodeOriginMessage(OriginQuery{number, found->second.stream});
  for (const std::string& node : found->second.silent) {
    socket_.send(node, datagram);
  }
}

void StreamOriginExchange::finish(std::uint64_t number, const routing::OriginState& state,
                                  const std::string& source) {
  const auto found = lookups_.find(number);
  if (found == lookups_.end()) {
    return;
  }
  const Lookup lookup = std::move(found->second);
  lookups_.erase(found);
  lookup.callback({state, source, lookup.asked, lookup.asked - lookup.silent.size()});
}

void StreamOriginExchange::onDatagram(const std::string& sender, std::string_view bytes) {
  auto message = decodeOriginMessage(bytes);
  if (!succeeded(message)) {
    ++unreadableMessages_;
    return;
  }
  std::visit([this, &sender](const auto& one) { onMessage(sender, one); }, valueOf(message));
}

void StreamOriginExchange::onMessage(const std::string& /*sender*/, const OriginRecord& record) {
  const Instant now = clock_();
  const Duration keepFor = std::min(record.keepFor, knobs_.maximumLifetime);
  origins_.record(record.stream, record.origin, now + keepFor, now);
}

void StreamOriginExchange::onMessage(const std::string& sender, const OriginQuery& query) {
  send(sender, OriginReply{query.number, origins_.find(query.stream, clock_())});
}

void StreamOriginExchange::onMessage(const std::string& sender, const OriginReply& reply) {
  const auto found = lookups_.find(reply.number);
  if (found == lookups_.end() || found->second.silent.erase(sender) == 0) {
    return;
  }
  const bool isUnknown = std::holds_alternative<routing::UnknownOrigin>(reply.state);
  if (!isUnknown || found->second.silent.empty()) {
    finish(reply.number, reply.state, isUnknown ? std::string() : sender);
  }
}

}  // namespace gorsetrail::edge
