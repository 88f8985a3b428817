#include "edge/request_record_exchange.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace gorsetrail::edge {

RequestRecordExchange::RequestRecordExchange(
    boost::asio::io_context& context, services::TimerService& timers,
    std::function<Instant()> clock, RequestRecordSources sources, std::string ownZone,
    std::function<routing::RegistrationView()> registrations, RequestRecordExchangeKnobs knobs,
    std::uint64_t seed)
    : timers_(timers),
      clock_(std::move(clock)),
      knobs_(std::move(knobs)),
      peers_(std::move(sources), std::move(ownZone), seed),
      socket_(context,
              [this](const DatagramSocket::Endpoint& sender, std::string_view bytes) {
                onDatagram(sender.address().to_string() + ":" + std::to_string(sender.port()),
                           bytes);
              }),
      runHistories_(
          timers_, clock_, peers_, std::move(registrations),
          [this](const std::vector<std::string>& addresses, const RequestRecordMessage& message) {
            send(addresses, message);
          },
          knobs_.runHistories, seed),
      nextNumber_(seed) {}

Result<Success> RequestRecordExchange::listen(const std::string& ip, std::uint16_t port) {
  auto listening = socket_.listen(ip + ":" + std::to_string(port));
  if (succeeded(listening)) {
    peers_.setOwnAddress(ip, port);
    runHistories_.start();
  }
  return listening;
}

template <class Addresses>
void RequestRecordExchange::send(const Addresses& addresses, const RequestRecordMessage& message) {
  const std::string datagram = encodeRequestRecord(message, clock_());
  for (const std::string& address : addresses) {
    socket_.send(address, datagram);
  }
}

void RequestRecordExchange::record(const routing::RequestKey& stream,
                                   const routing::StreamOrigin& origin, Duration keepFor) {
  const Instant now = clock_();
  origins_.record(stream, origin, now + keepFor, now);
  send(peers_.holdersOf(stream, knobs_.copies), OriginRecord{stream, origin, keepFor});
}

void RequestRecordExchange::find(const routing::RequestKey& stream, Callback callback) {
  const routing::OriginState own = origins_.find(stream, clock_());
  if (!std::holds_alternative<routing::UnknownOrigin>(own)) {
    callback({own, {}, 0, 0});
    return;
  }
  const std::vector<std::string> holders = peers_.holdersOf(stream, knobs_.asked);
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

void RequestRecordExchange::askSilentNodes(std::uint64_t number) {
  const auto found = lookups_.find(number);
  if (found != lookups_.end()) {
    send(found->second.silent, OriginQuery{number, found->second.stream});
  }
}

void RequestRecordExchange::finish(std::uint64_t number, const routing::OriginState& state,
                                   const std::string& source) {
  const auto found = lookups_.find(number);
  if (found == lookups_.end()) {
    return;
  }
  const Lookup lookup = std::move(found->second);
  lookups_.erase(found);
  lookup.callback({state, source, lookup.asked, lookup.asked - lookup.silent.size()});
}

void RequestRecordExchange::onDatagram(const std::string& sender, std::string_view bytes) {
  auto message = decodeRequestRecord(bytes, clock_());
  if (!succeeded(message)) {
    ++unreadableMessages_;
    return;
  }
  std::visit([this, &sender](const auto& one) { onMessage(sender, one); }, valueOf(message));
}

void RequestRecordExchange::onMessage(const std::string& /*sender*/, const OriginRecord& record) {
  const Instant now = clock_();
  const Duration keepFor = std::min(record.keepFor, knobs_.maximumLifetime);
  origins_.record(record.stream, record.origin, now + keepFor, now);
}

void RequestRecordExchange::onMessage(const std::string& sender, const OriginQuery& query) {
  send(std::vector{sender}, OriginReply{query.number, origins_.find(query.stream, clock_())});
}

void RequestRecordExchange::onMessage(const std::string& sender, const OriginReply& reply) {
  const auto found = lookups_.find(reply.number);
  if (found == lookups_.end() || found->second.silent.erase(sender) == 0) {
    return;
  }
  const bool isUnknown = std::holds_alternative<routing::UnknownOrigin>(reply.state);
  if (!isUnknown || found->second.silent.empty()) {
    finish(reply.number, reply.state, isUnknown ? std::string() : sender);
  }
}

void RequestRecordExchange::onMessage(const std::string& sender,
                                      const RunHistoriesMessage& message) {
  runHistories_.onMessage(sender, message);
}

void RequestRecordExchange::onMessage(const std::string& sender, const RunHistoriesQuery& query) {
  runHistories_.onMessage(sender, query);
}

}  // namespace gorsetrail::edge
